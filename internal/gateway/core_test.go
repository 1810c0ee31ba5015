package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

const seeds = 3000

// chaos fills a world with requests, membership changes and lost links.
func chaos(seed uint64) *world {
	w := newWorld(seed)
	w.failing = w.random.Float64()
	for i := range testRouters {
		w.join(i)
	}
	for s := range uint32(testShards) {
		w.own(s, w.random.IntN(testRouters))
	}
	operations := []string{"lookup", "reserve"}
	for range 60 {
		at := time.Duration(w.random.IntN(1000)) * time.Millisecond
		operation, delegated := operations[w.random.IntN(2)], w.random.IntN(10) == 0
		w.after(at, func() { w.start(operation, delegated) })
	}
	for range 10 {
		at := time.Duration(w.random.IntN(1000)) * time.Millisecond
		i, shard, kind := w.random.IntN(testRouters), uint32(w.random.IntN(testShards)), w.random.IntN(4)
		w.after(at, func() { w.disturb(kind, i, shard) })
	}
	w.run()
	return w
}

func TestVerdictsBudgetsAndDeadlinesUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		w := chaos(seed)
		handed := 0
		for _, r := range w.requests {
			assert.Equal(t, r.finishes, 1, "seed %d: %s answered %d times", seed, r.request.ID, r.finishes)
			limit := 300 * time.Millisecond
			if r.request.Operation == "reserve" {
				limit = 500 * time.Millisecond
				assert.Assert(t, r.runs <= 1, "seed %d: %s ran %d times", seed, r.request.ID, r.runs)
			}
			assert.Assert(t, r.finished.Sub(r.started) <= limit, "seed %d: %s took %v", seed, r.request.ID, r.finished.Sub(r.started))
			assert.Assert(t, r.verdict != verdict.NotRun || r.runs == 0, "seed %d: %s ran but was refused as not run", seed, r.request.ID)
			assert.Assert(t, r.verdict != verdict.Ran || r.runs > 0, "seed %d: %s did not run", seed, r.request.ID)
			handed += r.handed
		}
		n := float64(len(w.requests))
		assert.Assert(t, float64(handed) <= n*(1+w.service.RetryBudget+w.service.HedgeBudget)+2*mostBurst, "seed %d: %d calls for %.0f requests", seed, handed, n)
		assert.Assert(t, float64(w.hedges) <= n*w.service.HedgeBudget+mostBurst, "seed %d: %d hedges", seed, w.hedges)
		w.assertIdle(t, seed)
	}
}

// assertIdle checks that nothing is left of requests that ended.
func (w *world) assertIdle(t *testing.T, seed uint64) {
	t.Helper()
	c := w.core
	assert.Equal(t, len(c.tasks)+len(c.flights)+len(c.timers)+len(c.parked), 0, "seed %d: left over", seed)
	for i := range testRouters {
		assert.Equal(t, c.table.InFlight(routerID(i)), 0, "seed %d: calls counted at %s", seed, routerID(i))
	}
}

// disturb changes the fleet or loses a link.
func (w *world) disturb(kind, i int, shard uint32) {
	switch kind {
	case 0:
		w.own(shard, i)
	case 1:
		w.free(shard)
		w.after(50*time.Millisecond, func() { w.own(shard, i) })
	case 2:
		w.core.LostRouter(w.now, routerID(i))
	case 3:
		left := testRouter(i)
		left.Leaving = true
		w.change(leaving(left))
		w.after(100*time.Millisecond, func() { w.join(i) })
	}
}

func TestBudgetHoldsWhenEveryUpstreamFails(t *testing.T) {
	const requests = 5000
	w := newWorld(1)
	w.failing = 1
	for i := range testRouters {
		w.join(i)
	}
	for range requests {
		w.after(time.Duration(w.random.IntN(20_000))*time.Millisecond, func() { w.start("lookup", false) })
	}
	w.run()
	handed := 0
	for _, r := range w.requests {
		handed += r.handed
	}
	limit := requests*(1+w.service.RetryBudget+w.service.HedgeBudget) + 2*mostBurst
	assert.Assert(t, float64(handed) <= limit, "%d calls for %d requests", handed, requests)
}

func TestRedirectsAreFewUntilTheOwnerAnswers(t *testing.T) {
	w := newWorld(1)
	w.join(0)
	for s := range uint32(testShards) {
		w.own(s, 0)
	}
	w.start("reserve", false)
	calls := 0
	for w.core.Len() > 0 {
		out := w.core.Take()
		for _, s := range out.Sends {
			calls++
			w.answer(&s, verdict.NotRun, verdict.ReasonNotOwner)
		}
		if len(out.Sends) == 0 {
			w.now = w.core.Deadline()
			w.core.Tick(w.now)
		}
	}
	assert.Assert(t, calls <= 10, "%d calls in half a second", calls)
}

func TestParkedRequestsAreServedOnceAnOwnerAppears(t *testing.T) {
	w := newWorld(1)
	w.start("reserve", false)
	w.start("lookup", false)
	w.after(40*time.Millisecond, func() {
		w.join(0)
		for s := range uint32(testShards) {
			w.own(s, 0)
		}
	})
	w.run()
	for _, r := range w.requests {
		assert.Equal(t, r.verdict, verdict.Ran)
		assert.Equal(t, r.sentAt, clock.Instant(40*time.Millisecond))
	}
	w.assertIdle(t, 1)
}

func TestRefusedAtOnce(t *testing.T) {
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
		w := quick(1)
		w.core.SetViewLease(c.lease)
		w.core.Start(w.now, c.request)
		out := w.core.Take()
		assert.Equal(t, len(out.Sends), 0)
		assert.Equal(t, out.Finishes[0].Answer.Verdict, verdict.NotRun)
		assert.Equal(t, out.Finishes[0].Answer.Reason, c.reason)
	}
}

// TestDelegatedRequests checks that a door's own requests come back to it never
// and add nothing to the budgets.
func TestDelegatedRequests(t *testing.T) {
	w := quick(2)
	retries := w.core.service("reservations").retries
	retries.tokens = 0
	for i := range 200 {
		w.core.Start(w.now, Request{
			Token: uint64(1<<30 + i), ID: "x", Service: "reservations", Operation: "reserve", Delegated: true, Exclude: routerID(0),
		})
		assert.Equal(t, w.core.Take().Sends[0].Router.ID, routerID(1))
	}
	assert.Equal(t, retries.tokens, 0.0)
}

// TestManyRedirectingDoors lets more doors redirect than a request may ask.
func TestManyRedirectingDoors(t *testing.T) {
	w := newWorld(1)
	for i := range 200 {
		w.join(i)
	}
	w.start("lookup", false)
	calls := 0
	for w.core.Len() > 0 {
		sends := w.core.Take().Sends
		for _, s := range sends {
			calls++
			w.answer(&s, verdict.NotRun, verdict.ReasonNoUpstream)
		}
		if len(sends) == 0 {
			w.now = w.core.Deadline()
			w.core.Tick(w.now)
		}
	}
	assert.Equal(t, calls, maxTries)
}

// TestShardWaitsForAnUnreachableOwner loses the owner of every shard for longer
// than the retry budget lasts, then moves the shards.
func TestShardWaitsForAnUnreachableOwner(t *testing.T) {
	w := newWorld(1)
	w.join(0)
	w.join(1)
	for s := range uint32(testShards) {
		w.own(s, 0)
	}
	w.unreachable = routerID(0)
	for range 200 {
		w.after(time.Duration(w.random.IntN(100))*time.Millisecond, func() { w.start("reserve", false) })
	}
	w.after(300*time.Millisecond, func() {
		for s := range uint32(testShards) {
			w.own(s, 1)
		}
	})
	w.run()
	calls := 0
	for _, r := range w.requests {
		assert.Equal(t, r.verdict, verdict.Ran, r.request.ID)
		calls += len(r.sentTo)
	}
	assert.Assert(t, calls <= 7*len(w.requests), "%d calls", calls)
}

// TestDoorWithoutItsUpstreamIsAvoided lets one door refuse each call at once
// because its upstream takes no connections.
func TestDoorWithoutItsUpstreamIsAvoided(t *testing.T) {
	w := newWorld(1)
	for i := range 3 {
		w.join(i)
	}
	refused := 0
	for i := range 1000 {
		w.core.Start(w.now, Request{Token: uint64(i + 1), ID: "x", Service: "reservations", Operation: "lookup"})
		for sends := w.core.Take().Sends; len(sends) > 0; sends = w.core.Take().Sends {
			s := sends[0]
			s.Call.RequestID = "x"
			if s.Router.ID == routerID(1) {
				refused++
				w.answer(&s, verdict.NotRun, verdict.ReasonConnection)
				continue
			}
			w.now = w.now.Add(2 * time.Millisecond)
			w.answer(&s, verdict.Ran, verdict.ReasonNone)
		}
	}
	assert.Equal(t, w.core.Len(), 0)
	assert.Assert(t, refused < 20, "%d refusals", refused)
}
