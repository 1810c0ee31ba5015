package attempt

import (
	"container/heap"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Start takes a caller's request. A refusal here proves nothing of what the
// caller sent before.
func (c *Core) Start(now clock.Instant, r Request) {
	t, reason := c.admit(now, r)
	if reason != verdict.ReasonNone {
		answer := call.Answer{RequestID: r.ID, Verdict: verdict.NotRun, Reason: reason}
		if r.Resend {
			answer.Verdict = verdict.MayHaveRun
		}
		c.output.Finishes = append(c.output.Finishes, Finish{Token: r.Token, Answer: answer})
		c.decide(event.RequestFinished, &r, &answer)
		return
	}
	c.tasks[r.Token] = t
	t.timer = t.deadline
	heap.Push(&c.timers, t)
	c.try(now, t)
}

// admit checks a request against the preset in force.
func (c *Core) admit(now clock.Instant, r Request) (*task, verdict.Reason) {
	if now >= c.viewUntil {
		return nil, verdict.ReasonViewStale
	}
	if c.view.Preset == nil {
		return nil, verdict.ReasonNoPreset
	}
	service := c.view.Preset.Service(r.Service)
	if service == nil {
		return nil, verdict.ReasonUnknownService
	}
	operation, ok := service.Operation(r.Operation)
	if !ok {
		return nil, verdict.ReasonUnknownOp
	}
	if service.Keyed && r.Key == "" {
		return nil, verdict.ReasonMissingKey
	}
	limit := operation.Deadline
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	t := &task{
		request: r, idempotent: operation.Idempotent, deadline: now.Add(limit), reason: verdict.ReasonNoOwner,
		service: c.service(service.Name), parkedAt: notParked,
	}
	t.place(service)
	c.earn(t, service)
	return t, verdict.ReasonNone
}

// earn fills the budgets. A delegated request was counted where it entered the
// fleet, so that budgets do not multiply over hops.
func (c *Core) earn(t *task, service *fleet.Service) {
	if t.request.Delegated {
		return
	}
	t.service.retries.earn(service.RetryBudget)
	if t.mayHedge() && service.HedgeQuantile > 0 && !c.settings.NoHedging {
		t.service.hedges.earn(service.HedgeBudget)
		t.hedgeQuantile = service.HedgeQuantile
	}
}

// place decides whether the request belongs to a shard: that of its key, or
// for a non-idempotent request of an unkeyed service that of its id.
func (t *task) place(service *fleet.Service) {
	switch {
	case service.Keyed:
		t.sharded = true
		t.shard = fleet.ShardOf(service.Name, t.request.Key, service.Shards)
	case !t.idempotent && !t.request.Delegated:
		t.sharded = true
		t.shard = fleet.ShardOf(service.Name, t.request.ID, service.Shards)
	}
}

// mayHedge reports whether two calls of the request may be under way at once.
func (t *task) mayHedge() bool { return t.idempotent && !t.sharded && !t.request.Delegated }
