package router

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// Guards against a gateway that hangs for good: it and a link that ends may empty the ring of the
// link's calls at the same time.
func TestRetiredLinkThatEndsIsEmptiedOnce(t *testing.T) {
	const rounds, calls = 3000, 3
	now := &manualClock{}
	for round := range rounds {
		answers := ring.New[*inboundAnswer]("answers", calls+1, ring.Wait)
		l := newLink("f", fleet.Router{ID: "r", Address: "invalid"}, &atomic.Int64{}, now, answers, discardEvents{})
		for number := range uint64(calls) {
			assert.NilError(t, l.calls.Put(t.Context(), &outgoingCall{call: call.Call{Number: number + 1}}))
		}
		d := &gatewayDuty{core: gateway.New(gateway.Settings{}), links: map[fleet.RouterID]*link{}}
		var both sync.WaitGroup
		both.Go(func() { d.emptyLink(0, l) })
		both.Go(func() { l.reportQueued(t.Context()) })
		done := make(chan struct{})
		go func() {
			both.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatalf("round %d: one waits for calls that the other has taken", round)
		}
		for in, ok := answers.Poll(); ok; in, ok = answers.Poll() {
			assert.Assert(t, in.lost && in.verdict == verdict.NotRun)
		}
	}
}

// Guards against a call that is lost while it runs, since no other call followed on its link: a
// link is idle only if nothing is in flight.
func TestLinkWithACallInFlightIsNotIdle(t *testing.T) {
	now := &manualClock{}
	l := newLink("f", fleet.Router{ID: "r"}, &atomic.Int64{}, now, nil, discardEvents{})
	w := newLinkWriter(l, nil, func() {})
	w.trackInFlight(&outgoingCall{})
	now.now = now.now.Add(10 * idleTimeout)
	assert.Assert(t, !w.idle())
	l.callEnded()
	assert.Assert(t, w.idle())
}
