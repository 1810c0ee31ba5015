package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"endivespring/internal/wire/wirepb"
)

const (
	guardedFleet = "f"
	guardMemory  = 8 << 20
	largeMessage = 2 * guardMemory
)

// guardedConsensus admits those of its fleet and acknowledges their messages.
type guardedConsensus struct {
	wirepb.UnimplementedConsensusServer
}

func (guardedConsensus) Deliver(stream grpc.BidiStreamingServer[wirepb.ConsensusMessage, wirepb.Empty]) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if message.GetFleet() == guardedFleet {
			Admit(stream.Context())
		}
		if err := stream.Send(&wirepb.Empty{}); err != nil {
			return err
		}
	}
}

func startGuarded(t *testing.T) (guard *Guard, address string) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	guard = NewGuard(guardedFleet, guardMemory)
	server := guard.NewServer()
	wirepb.RegisterConsensusServer(server, guardedConsensus{})
	go func() { _ = Serve(server, guard.Listen(listener)) }()
	t.Cleanup(server.Stop)
	return guard, listener.Addr().String()
}

// deliver sends messages of the given sizes on a new connection, and returns the error of the
// first that is not acknowledged.
func deliver(t *testing.T, ctx context.Context, address, fleet string, sizes ...int) error {
	t.Helper()
	connection, err := Dial(address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	stream, err := wirepb.NewConsensusClient(connection).Deliver(ctx)
	if err != nil {
		return err
	}
	for _, size := range sizes {
		if err := stream.Send(&wirepb.ConsensusMessage{Fleet: fleet, Snapshot: &wirepb.Snapshot{Data: make([]byte, size)}}); err != nil && err != io.EOF {
			return err
		}
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a peer port that holds a message of any size of anybody, and against one that
// refuses large messages of its own fleet, also of processes that name it only in messages.
func TestGuardBoundsMessagesOfStrangers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	guard, address := startGuarded(t)
	assert.NilError(t, deliver(t, NameFleet(ctx, guardedFleet), address, guardedFleet, largeMessage, largeMessage))
	assert.NilError(t, deliver(t, ctx, address, guardedFleet, 1, largeMessage))
	assert.Assert(t, deliver(t, ctx, address, guardedFleet, largeMessage) != nil)
	assert.Assert(t, deliver(t, NameFleet(ctx, "other"), address, "other", 1, largeMessage) != nil)
	for end := time.Now().Add(10 * time.Second); guard.budget.Used() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are still withdrawn", guard.budget.Used())
	}
}

// Guards against a peer port that strangers keep occupied: the oldest one is closed for others.
func TestGuardClosesOldestStranger(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, address := startGuarded(t)
	var first net.Conn
	for i := range maxStrangers {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		if i == 0 {
			first = c
		}
	}
	for deliver(t, NameFleet(ctx, guardedFleet), address, guardedFleet, 1) != nil { // until strangerKept is over
		assert.NilError(t, ctx.Err())
	}
	assert.NilError(t, first.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.Copy(io.Discard, first) // what the server has sent
	if err != nil {
		timeout, ok := err.(net.Error)
		assert.Assert(t, !ok || !timeout.Timeout(), "the oldest stranger is still connected")
	}
}
