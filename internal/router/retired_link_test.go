package router

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
	"endivespring/internal/wire/wirepb"
)

// TestStoppingRouterEndsLinksInOrder stops the router at the other end of a link while
// calls are in flight, in transit and queued. Each is answered or known not to have run;
// before, ending the process cut the answers off, and the calls may have run.
func TestStoppingRouterEndsLinksInOrder(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	submissions := ring.New[*submission]("submissions", 64, ring.Refuse)
	server := peer.NewServer()
	wirepb.RegisterDoorsServer(server, &executorServer{fleet: "f", events: discardEvents{}, clock: clock.NewMonotonic(), executor: submissions})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	defer server.Stop()
	answers := ring.New[*inboundAnswer]("answers", 64, ring.Wait)
	l := newLink("f", fleet.Router{ID: "r", Address: listener.Addr().String()}, &atomic.Int64{}, clock.NewMonotonic(), answers, discardEvents{})
	go func() { _ = l.Run(ctx) }()
	send := func(number uint64) {
		assert.NilError(t, l.calls.Put(ctx, &outgoingCall{call: call.Call{Number: number, Deadline: clock.NewMonotonic().Now().Add(time.Minute)}}))
	}
	take := func() *submission {
		s, err := submissions.Take(ctx)
		assert.NilError(t, err)
		return s
	}
	send(1)
	sink := take().open
	assert.Assert(t, sink != nil)
	assert.Equal(t, take().call.Number, uint64(1))
	send(2) // in transit while the other router asks for no more
	sink.retire(ctx)
	sink.answer(ctx, call.Answer{Number: 1, Verdict: verdict.Ran, Status: 200})
	assert.Equal(t, take().call.Number, uint64(2))
	retired := false
	for !retired {
		in, err := answers.Take(ctx)
		assert.NilError(t, err)
		assert.Assert(t, in.ended == nil && !in.lost)
		retired = in.retired == l
	}
	send(3) // queued after the link stopped sending
	sink.answer(ctx, call.Answer{Number: 2, Verdict: verdict.NotRun, Reason: verdict.ReasonStopping})
	sink.finish(ctx)
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	got := map[uint64]verdict.Verdict{}
	for ended := false; !ended; {
		in, err := answers.Take(ctx)
		assert.NilError(t, err)
		ended = in.ended == l
		switch {
		case in.lost:
			got[in.answer.Number] = in.verdict
		case in.answer.Number != 0:
			got[in.answer.Number] = in.answer.Verdict
		}
	}
	assert.Equal(t, got[2], verdict.NotRun)
	assert.Equal(t, got[3], verdict.NotRun)
	select {
	case <-stopped:
	case <-ctx.Done():
		t.Fatal("the links did not end")
	}
}
