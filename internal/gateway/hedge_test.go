package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

func TestNotRunOfOneLegLeavesTheOtherAlone(t *testing.T) {
	for _, first := range []bool{true, false} {
		c, sends := hedged(t)
		refused, kept := sends[0], sends[1]
		if !first {
			refused, kept = kept, refused
		}
		assert.Assert(t, refused.Router.ID != kept.Router.ID)
		now := clock.Instant(time.Second)
		c.Answered(now, refused.Router.ID, call.Answer{Number: refused.Call.Number, RequestID: "x", Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded})
		out := c.Take()
		assert.Equal(t, len(out.Finishes)+len(out.Sends), 0)
		c.Answered(now, kept.Router.ID, call.Answer{Number: kept.Call.Number, RequestID: "x", Verdict: verdict.Ran})
		assert.Equal(t, c.Take().Finishes[0].Answer.Verdict, verdict.Ran)
	}
}

func TestLoserOfAHedgeIsCancelled(t *testing.T) {
	c, sends := hedged(t)
	c.Answered(clock.Instant(time.Second), sends[1].Router.ID, call.Answer{Number: sends[1].Call.Number, RequestID: "x", Verdict: verdict.Ran})
	out := c.Take()
	assert.DeepEqual(t, out.Cancels, []Cancel{{Router: sends[0].Router.ID, Number: sends[0].Call.Number}})
	assert.Equal(t, c.table.InFlight(sends[0].Router.ID), 0)
}

// hedged returns a core with one request that was just hedged, and its calls.
func hedged(t *testing.T) (*Core, []Send) {
	t.Helper()
	w := newWorld(3)
	for i := range 3 {
		w.join(i)
	}
	for range 200 {
		w.after(time.Duration(w.random.IntN(900))*time.Millisecond, func() { w.start("lookup", false) })
	}
	w.run()
	w.now = clock.Instant(time.Second) - clock.Instant(50*time.Millisecond)
	w.core.Start(w.now, Request{Token: 1 << 30, ID: "x", Service: "reservations", Operation: "lookup"})
	sends := w.core.Take().Sends
	w.core.Tick(w.core.Deadline())
	sends = append(sends, w.core.Take().Sends...)
	assert.Equal(t, len(sends), 2)
	assert.Assert(t, sends[1].Call.Hedge && !sends[0].Call.Hedge)
	return w.core, sends
}

// quick returns a world whose lookups have taken a few milliseconds.
func quick(routers int) *world {
	w := newWorld(5)
	for i := range routers {
		w.join(i)
	}
	for s := range uint32(testShards) {
		w.own(s, 0)
	}
	for range 400 {
		w.after(time.Duration(w.random.IntN(900))*time.Millisecond, func() { w.start("lookup", false) })
	}
	w.run()
	return w
}

func TestOnlyIdempotentUnshardedRequestsAreHedged(t *testing.T) {
	for _, c := range []struct {
		request Request
		calls   int
	}{
		{Request{Service: "reservations", Operation: "lookup"}, 2},
		{Request{Service: "reservations", Operation: "lookup", Delegated: true}, 1},
		{Request{Service: "reservations", Operation: "reserve"}, 1},
		{Request{Service: "reservations", Operation: "reserve", Delegated: true}, 1},
		{Request{Service: "timetable", Operation: "lookup", Key: "k"}, 1},
	} {
		w := quick(3)
		for s := range uint32(testShards) {
			w.change(&fleet.Change{Shards: []fleet.Shard{{
				ID: fleet.ShardID{Service: "timetable", Number: s}, Phase: fleet.ShardGranted, Owner: routerID(1), Session: 2,
			}}})
		}
		for range 100 { // both services know latencies and have a budget
			w.core.service("timetable").observe(time.Millisecond)
			w.core.service("timetable").hedges.earn(1)
		}
		c.request.Token, c.request.ID = 1<<30, "x"
		w.core.Start(w.now, c.request)
		calls := len(w.core.Take().Sends)
		for end := w.now.Add(100 * time.Millisecond); w.core.Deadline() < end; {
			w.now = w.core.Deadline()
			w.core.Tick(w.now)
			calls += len(w.core.Take().Sends)
		}
		assert.Equal(t, calls, c.calls, "%+v", c.request)
	}
}

// TestHedgesStayInTheirBudget lets every upstream stall at once.
func TestHedgesStayInTheirBudget(t *testing.T) {
	const requests = 1000
	w := quick(5)
	hedges := 0
	for i := range requests {
		w.core.Start(w.now, Request{Token: uint64(1<<30 + i), ID: "x", Service: "reservations", Operation: "lookup"})
	}
	w.core.Take()
	w.core.Tick(w.now.Add(100 * time.Millisecond))
	for _, s := range w.core.Take().Sends {
		assert.Assert(t, s.Call.Hedge)
		hedges++
	}
	assert.Assert(t, hedges > 0 && hedges <= requests/20+mostBurst, "%d hedges", hedges)
}

func TestLatencyHistogramFollowsTheSamples(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var h latencyHistogram
	for range 5000 {
		h.observe(time.Duration(1+random.IntN(1000)) * 10 * time.Microsecond)
	}
	got := h.quantile(0.9)
	assert.Assert(t, got > 8500*time.Microsecond && got < 9900*time.Microsecond, "%v", got)
	for range 5000 {
		h.observe(time.Millisecond)
	}
	got = h.quantile(0.9)
	assert.Assert(t, got >= time.Millisecond && got < 1200*time.Microsecond, "%v after a change", got)
}
