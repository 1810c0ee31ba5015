package gateway

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

const seeds = 3000

// simulateFaults runs a simulation with requests, membership changes and lost links
// at random times.
func simulateFaults(sim *simulation) *simulation {
	sim.failureShare = sim.random.Float64()
	for i := range testRouters {
		sim.addRouter(i)
	}
	for s := range uint32(testShards) {
		sim.grantShard(s, sim.random.IntN(testRouters))
	}
	operations := []string{"lookup", "reserve"}
	for range 60 {
		at := time.Duration(sim.random.IntN(1000)) * time.Millisecond
		operation, delegated := operations[sim.random.IntN(2)], sim.random.IntN(10) == 0
		sim.after(at, func() { sim.start(operation, delegated) })
	}
	for range 10 {
		at := time.Duration(sim.random.IntN(1000)) * time.Millisecond
		i, shard, kind := sim.random.IntN(testRouters), uint32(sim.random.IntN(testShards)), sim.random.IntN(4)
		sim.after(at, func() { sim.injectFault(kind, i, shard) })
	}
	sim.run()
	return sim
}

// TestVerdictsBudgetsAndDeadlinesUnderFaults runs random faults and checks that each
// request is answered once and by its deadline, that verdicts are true, that a
// non-idempotent request runs at most once, and that retries and hedges stay within
// their budgets.
func TestVerdictsBudgetsAndDeadlinesUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		checkFaults(t, seed, simulateFaults(newSimulation(seed)))
	}
}

// checkFaults checks what a simulation with faults has recorded.
func checkFaults(t *testing.T, seed uint64, sim *simulation) {
	t.Helper()
	delivered := 0
	for _, r := range sim.requests {
		assert.Equal(t, r.replies, 1, "seed %d: %s answered %d times", seed, r.request.ID, r.replies)
		limit := 300 * time.Millisecond
		if r.request.Operation == "reserve" {
			limit = 500 * time.Millisecond
			assert.Assert(t, r.runs <= 1, "seed %d: %s ran %d times", seed, r.request.ID, r.runs)
		}
		assert.Assert(t, r.answeredAt.Sub(r.started) <= limit, "seed %d: %s took %v", seed, r.request.ID, r.answeredAt.Sub(r.started))
		assert.Assert(t, r.verdict != verdict.NotRun || r.runs == 0, "seed %d: %s ran but was refused as not run", seed, r.request.ID)
		assert.Assert(t, r.verdict != verdict.Ran || r.runs > 0, "seed %d: %s did not run", seed, r.request.ID)
		delivered += r.delivered
	}
	n := float64(len(sim.requests))
	assert.Assert(t, float64(delivered) <= n*(1+sim.service.RetryBudget+sim.service.HedgeBudget)+2*maxRouterBurst, "seed %d: %d calls for %.0f requests", seed, delivered, n)
	assert.Assert(t, float64(sim.hedges) <= n*sim.service.HedgeBudget+maxRouterBurst, "seed %d: %d hedges", seed, sim.hedges)
	sim.assertIdle(t, seed)
}

// assertIdle checks that no state is left of requests that ended.
func (sim *simulation) assertIdle(t *testing.T, seed uint64) {
	t.Helper()
	c := sim.core
	assert.Equal(t, len(c.requestsByToken)+len(c.callsByNumber)+len(c.timers)+len(c.parked), 0, "seed %d: left over", seed)
	for i := range testRouters {
		assert.Equal(t, c.table.InFlight(routerID(i)), 0, "seed %d: calls counted at %s", seed, routerID(i))
	}
}

// injectFault changes an owner or a router's membership, or loses a link.
func (sim *simulation) injectFault(kind, i int, shard uint32) {
	switch kind {
	case 0:
		sim.grantShard(shard, i)
	case 1:
		sim.freeShard(shard)
		sim.after(50*time.Millisecond, func() { sim.grantShard(shard, i) })
	case 2:
		sim.core.HandleLostLink(sim.now, routerID(i), 0, math.MaxUint64)
	case 3:
		left := testRouter(i)
		left.Leaving = true
		sim.applyChange(routerChange(left))
		sim.after(100*time.Millisecond, func() { sim.addRouter(i) })
	}
}

func TestBudgetHoldsWhenEveryUpstreamFails(t *testing.T) {
	const requests = 5000
	sim := newSimulation(1)
	sim.failureShare = 1
	for i := range testRouters {
		sim.addRouter(i)
	}
	for range requests {
		sim.after(time.Duration(sim.random.IntN(20_000))*time.Millisecond, func() { sim.start("lookup", false) })
	}
	sim.run()
	delivered := 0
	for _, r := range sim.requests {
		delivered += r.delivered
	}
	limit := requests*(1+sim.service.RetryBudget+sim.service.HedgeBudget) + 2*maxRouterBurst
	assert.Assert(t, float64(delivered) <= limit, "%d calls for %d requests", delivered, requests)
}

// TestRedirectedRequestsBackOff has the owner of every shard redirect all calls, as one
// with an outdated view does: the calls of a request must be few until its deadline.
func TestRedirectedRequestsBackOff(t *testing.T) {
	sim := newSimulation(1)
	sim.addRouter(0)
	for s := range uint32(testShards) {
		sim.grantShard(s, 0)
	}
	sim.start("reserve", false)
	calls := 0
	for sim.core.Len() > 0 {
		out := sim.core.Take()
		for _, s := range out.Sends {
			calls++
			sim.answer(&s, verdict.NotRun, verdict.ReasonNotOwner)
		}
		if len(out.Sends) == 0 {
			sim.now = sim.core.Deadline()
			sim.core.Tick(sim.now)
		}
	}
	assert.Assert(t, calls <= 10, "%d calls in half a second", calls)
}

func TestParkedRequestsAreServedOnceAnOwnerAppears(t *testing.T) {
	sim := newSimulation(1)
	sim.start("reserve", false)
	sim.start("lookup", false)
	sim.after(40*time.Millisecond, func() {
		sim.addRouter(0)
		for s := range uint32(testShards) {
			sim.grantShard(s, 0)
		}
	})
	sim.run()
	for _, r := range sim.requests {
		assert.Equal(t, r.verdict, verdict.Ran)
		assert.Equal(t, r.sentAt, clock.Instant(40*time.Millisecond))
	}
	sim.assertIdle(t, 1)
}

func TestAdmissionRefusals(t *testing.T) {
	for _, c := range []struct {
		request Request
		lease   clock.Instant
		reason  verdict.Reason
	}{
		{Request{Service: "reservations", Operation: "lookup"}, 0, verdict.ReasonViewStale},
		{Request{Service: "other", Operation: "lookup"}, clock.Never, verdict.ReasonUnknownService},
		{Request{Service: "reservations", Operation: "other"}, clock.Never, verdict.ReasonUnknownOp},
		{Request{Service: "timetable", Operation: "lookup"}, clock.Never, verdict.ReasonMissingKey},
	} {
		sim := newWarmSimulation(1)
		sim.core.SetViewLease(c.lease)
		sim.core.Start(sim.now, c.request)
		out := sim.core.Take()
		assert.Equal(t, len(out.Sends), 0)
		assert.Equal(t, out.Replies[0].Answer.Verdict, verdict.NotRun)
		assert.Equal(t, out.Replies[0].Answer.Reason, c.reason)
	}
}

// TestDelegatedRequests checks that a delegated request is never sent back to the
// executor that it came from, and adds nothing to the budgets.
func TestDelegatedRequests(t *testing.T) {
	sim := newWarmSimulation(2)
	retries := sim.core.service("reservations").retryBudget
	retries.tokens = 0
	for i := range 200 {
		sim.core.Start(sim.now, Request{
			Token: uint64(1<<30 + i), ID: "x", Service: "reservations", Operation: "reserve", Delegated: true, Exclude: routerID(0),
		})
		assert.Equal(t, sim.core.Take().Sends[0].Router.ID, routerID(1))
	}
	assert.Equal(t, retries.tokens, 0.0)
}

// TestAttemptsAreBounded has every executor redirect, with more executors than a request
// may attempt.
func TestAttemptsAreBounded(t *testing.T) {
	sim := newSimulation(1)
	for i := range 200 {
		sim.addRouter(i)
	}
	sim.start("lookup", false)
	calls := 0
	for sim.core.Len() > 0 {
		sends := sim.core.Take().Sends
		for _, s := range sends {
			calls++
			sim.answer(&s, verdict.NotRun, verdict.ReasonNoUpstream)
		}
		if len(sends) == 0 {
			sim.now = sim.core.Deadline()
			sim.core.Tick(sim.now)
		}
	}
	assert.Equal(t, calls, maxAttempts)
}

// TestShardWaitsForAnUnreachableOwner makes the owner of every shard unreachable, with
// more requests than the retry budget has tokens, then moves the shards to another
// router. All requests must wait and run there.
func TestShardWaitsForAnUnreachableOwner(t *testing.T) {
	sim := newSimulation(1)
	sim.addRouter(0)
	sim.addRouter(1)
	for s := range uint32(testShards) {
		sim.grantShard(s, 0)
	}
	sim.unreachable = routerID(0)
	for range 200 {
		sim.after(time.Duration(sim.random.IntN(100))*time.Millisecond, func() { sim.start("reserve", false) })
	}
	sim.after(300*time.Millisecond, func() {
		for s := range uint32(testShards) {
			sim.grantShard(s, 1)
		}
	})
	sim.run()
	calls := 0
	for _, r := range sim.requests {
		assert.Equal(t, r.verdict, verdict.Ran, r.request.ID)
		calls += len(r.sentTo)
	}
	assert.Assert(t, calls <= 7*len(sim.requests), "%d calls", calls)
}

// TestExecutorWithoutUpstreamIsAvoided has one executor refuse each call at once because
// its upstream accepts no connections. Its fast refusals must not attract calls.
func TestExecutorWithoutUpstreamIsAvoided(t *testing.T) {
	sim := newSimulation(1)
	for i := range 3 {
		sim.addRouter(i)
	}
	refused := 0
	for i := range 1000 {
		sim.core.Start(sim.now, Request{Token: uint64(i + 1), ID: "x", Service: "reservations", Operation: "lookup"})
		for sends := sim.core.Take().Sends; len(sends) > 0; sends = sim.core.Take().Sends {
			s := sends[0]
			s.Call.RequestID = "x"
			if s.Router.ID == routerID(1) {
				refused++
				sim.answer(&s, verdict.NotRun, verdict.ReasonConnection)
				continue
			}
			sim.now = sim.now.Add(2 * time.Millisecond)
			sim.answer(&s, verdict.Ran, verdict.ReasonNone)
		}
	}
	assert.Equal(t, sim.core.Len(), 0)
	assert.Assert(t, refused < 20, "%d refusals", refused)
}
