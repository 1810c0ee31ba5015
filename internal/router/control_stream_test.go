package router

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// partingServer answers the first message of a stream with a large change in parts.
type partingServer struct {
	wirepb.UnimplementedSessionsServer
	t      *testing.T
	change *fleet.Change
	parts  int
}

// Attach sends the change and then waits for the end of the stream.
func (s *partingServer) Attach(stream grpc.BidiStreamingServer[wirepb.SessionUp, wirepb.SessionDown]) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	assert.Check(s.t, up.GetParts())
	data, err := wire.EncodeChange(s.change)
	assert.Check(s.t, err)
	parts := wire.SplitDown(wire.FromDown(&session.ControlMessage{Session: 7, Change: s.change}, data))
	s.parts = len(parts)
	for _, part := range parts {
		if err := stream.Send(part); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	<-stream.Context().Done()
	return nil
}

// TestLargeChangeArrivesInParts sends a change in parts over a real stream: the parts show
// progress, and the change arrives whole.
func TestLargeChangeArrivesInParts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	parting := &partingServer{t: t, change: &fleet.Change{Full: true, To: 4, Preset: &fleet.Preset{Name: strings.Repeat("x", 100_000)}}}
	server := peer.NewServer()
	wirepb.RegisterSessionsServer(server, parting)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	defer server.Stop()
	connection, err := peer.Dial(listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	stream := newControlStream("f")
	go stream.run(ctx, wirepb.NewSessionsClient(connection))
	assert.NilError(t, stream.outgoing.Put(ctx, session.RouterMessage{Nonce: "n"}))
	progress := 0
	for {
		select {
		case <-stream.progress.Out():
			progress++
			continue
		case down := <-stream.incoming.Out():
			assert.Equal(t, down.Session, fleet.Session(7))
			assert.Equal(t, down.Change.Preset.Name, parting.change.Preset.Name)
		case <-ctx.Done():
			t.Fatal("the change did not arrive")
		}
		break
	}
	assert.Assert(t, parting.parts > 10 && progress > 0, "%d parts, %d seen", parting.parts, progress)
}

// TestRouterIsReadyWithALeaseOnly guards against a router that has just started and takes
// requests by an old view: control may send one that it has kept, and the changes since
// then after it. The lease comes last.
func TestRouterIsReadyWithALeaseOnly(t *testing.T) {
	h := &gatewayDuty{
		core: gateway.New(gateway.Settings{}), clock: clock.NewMonotonic(), events: discardEvents{}, readiness: &readiness{},
		hasPreset: ring.New[struct{}]("has-preset", 1, ring.DropOldest), client: caller.NewGatewayClient(clock.NewMonotonic(), nil, nil),
	}
	preset := &fleet.Preset{Services: []fleet.Service{{Name: "s"}}}
	h.update(&session.Update{Change: &fleet.Change{Full: true, To: 3, Preset: preset}})
	assert.Assert(t, !h.readiness.ready())
	assert.Equal(t, h.hasPreset.Depth(), 0)
	h.update(&session.Update{Change: &fleet.Change{From: 3, To: 9}})
	assert.Assert(t, !h.readiness.ready())
	h.update(&session.Update{ViewUntil: 5})
	assert.Assert(t, h.readiness.ready())
	assert.Equal(t, h.hasPreset.Depth(), 1)
}
