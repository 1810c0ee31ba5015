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

func TestRefusedCallLeavesHedgePending(t *testing.T) {
	for _, first := range []bool{true, false} {
		c, sends := newHedgedRequest(t)
		refused, kept := sends[0], sends[1]
		if !first {
			refused, kept = kept, refused
		}
		assert.Assert(t, refused.Router.ID != kept.Router.ID)
		now := clock.Instant(time.Second)
		c.HandleAnswer(now, refused.Router.ID, call.Answer{Number: refused.Call.Number, RequestID: "x", Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded})
		out := c.Take()
		assert.Equal(t, len(out.Replies)+len(out.Sends), 0)
		c.HandleAnswer(now, kept.Router.ID, call.Answer{Number: kept.Call.Number, RequestID: "x", Verdict: verdict.Ran})
		assert.Equal(t, c.Take().Replies[0].Answer.Verdict, verdict.Ran)
	}
}

func TestSlowerCallOfHedgedRequestIsCancelled(t *testing.T) {
	c, sends := newHedgedRequest(t)
	c.HandleAnswer(clock.Instant(time.Second), sends[1].Router.ID, call.Answer{Number: sends[1].Call.Number, RequestID: "x", Verdict: verdict.Ran})
	out := c.Take()
	assert.DeepEqual(t, out.Cancels, []Cancel{{Router: sends[0].Router.ID, Number: sends[0].Call.Number}})
	assert.Equal(t, c.table.InFlight(sends[0].Router.ID), 0)
}

// newHedgedRequest returns a core with one request that was just hedged, and its two
// calls.
func newHedgedRequest(t *testing.T) (*Core, []Send) {
	t.Helper()
	sim := newSimulation(3)
	for i := range 3 {
		sim.addRouter(i)
	}
	for range 200 {
		sim.after(time.Duration(sim.random.IntN(900))*time.Millisecond, func() { sim.start("lookup", false) })
	}
	sim.run()
	sim.now = clock.Instant(time.Second) - clock.Instant(50*time.Millisecond)
	sim.core.Start(sim.now, Request{Token: 1 << 30, ID: "x", Service: "reservations", Operation: "lookup"})
	sends := sim.core.Take().Sends
	sim.core.Tick(sim.core.Deadline())
	sends = append(sends, sim.core.Take().Sends...)
	assert.Equal(t, len(sends), 2)
	assert.Assert(t, sends[1].Call.Hedge && !sends[0].Call.Hedge)
	return sim.core, sends
}

// newWarmSimulation returns a simulation in which enough idempotent requests ran to
// enable hedging.
func newWarmSimulation(routers int) *simulation {
	sim := newSimulation(5)
	for i := range routers {
		sim.addRouter(i)
	}
	for s := range uint32(testShards) {
		sim.grantShard(s, 0)
	}
	for range 400 {
		sim.after(time.Duration(sim.random.IntN(900))*time.Millisecond, func() { sim.start("lookup", false) })
	}
	sim.run()
	return sim
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
		sim := newWarmSimulation(3)
		for s := range uint32(testShards) {
			sim.applyChange(&fleet.Change{Shards: []fleet.Shard{{
				ID: fleet.ShardID{Service: "timetable", Number: s}, Phase: fleet.ShardGranted, Owner: routerID(1), Session: 2,
			}}})
		}
		for range 100 { // both services have latencies and a budget
			sim.core.service("timetable").observe(time.Millisecond)
			sim.core.service("timetable").hedgeBudget.deposit(1)
		}
		c.request.Token, c.request.ID = 1<<30, "x"
		sim.core.Start(sim.now, c.request)
		calls := len(sim.core.Take().Sends)
		for end := sim.now.Add(100 * time.Millisecond); sim.core.Deadline() < end; {
			sim.now = sim.core.Deadline()
			sim.core.Tick(sim.now)
			calls += len(sim.core.Take().Sends)
		}
		assert.Equal(t, calls, c.calls, "%+v", c.request)
	}
}

// TestHedgesStayWithinBudget stalls all upstreams at once, so that every request is due
// for a hedge.
func TestHedgesStayWithinBudget(t *testing.T) {
	const requests = 1000
	sim := newWarmSimulation(5)
	hedges := 0
	for i := range requests {
		sim.core.Start(sim.now, Request{Token: uint64(1<<30 + i), ID: "x", Service: "reservations", Operation: "lookup"})
	}
	sim.core.Take()
	sim.core.Tick(sim.now.Add(100 * time.Millisecond))
	for _, s := range sim.core.Take().Sends {
		assert.Assert(t, s.Call.Hedge)
		hedges++
	}
	assert.Assert(t, hedges > 0 && hedges <= requests/20+maxRouterBurst, "%d hedges", hedges)
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
