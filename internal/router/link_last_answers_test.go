package router

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// endingServer answers a number of calls at once after the first message, and ends the stream.
type endingServer struct {
	wirepb.UnimplementedDoorsServer
	answers int
	ended   chan struct{}
}

func (s *endingServer) Link(stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown]) error {
	defer close(s.ended)
	if _, err := stream.Recv(); err != nil {
		return err
	}
	for number := range s.answers {
		if err := stream.Send(&wirepb.DoorDown{Answer: wire.FromAnswer(&call.Answer{Number: uint64(number + 1), RequestID: "id", Verdict: verdict.Ran, Status: 200})}); err != nil {
			return err
		}
	}
	return nil
}

// Guards against answers that are lost because the link on which they have arrived is found to
// have ended by a message that can't be sent on it.
func TestAnswersBeforeTheEndOfALinkAreRead(t *testing.T) {
	const calls = 100
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ending := &endingServer{answers: calls, ended: make(chan struct{})}
	server := peer.NewServer()
	wirepb.RegisterDoorsServer(server, ending)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	defer server.Stop()

	answers := ring.New[*inboundAnswer]("answers", 1, ring.Wait)
	l := newLink("f", fleet.Router{ID: "r", Address: listener.Addr().String()}, &atomic.Int64{}, clock.NewMonotonic(), answers, discardEvents{})
	go func() { _ = l.Run(ctx) }()
	send := func(number uint64) {
		assert.NilError(t, l.calls.Put(ctx, &outgoingCall{call: call.Call{Number: number, RequestID: "id", Deadline: clock.Never}}))
	}
	send(1)
	<-ending.ended
	for number := uint64(2); l.calls.Depth() == 0 && number < calls; number++ {
		send(number) // until one finds the stream ended
		time.Sleep(time.Millisecond)
	}
	got := 0
	for {
		in, err := answers.Take(ctx)
		assert.NilError(t, err)
		if in.ended != nil {
			break
		}
		if !in.lost && in.answer.Verdict == verdict.Ran {
			got++
		}
	}
	assert.Equal(t, got, calls)
}
