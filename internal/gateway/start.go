package gateway

import (
	"container/heap"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// patienceShare is the share of a route's objective for which a request waits
// for a door to open.
const patienceShare = 0.5

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
	if r.Method != "" {
		return c.admitRouted(now, r)
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
	t := c.newTask(now, r, service, operation.Idempotent, operation.Deadline)
	t.place(service)
	c.earn(t, service)
	return t, verdict.ReasonNone
}

// admitRouted finds the route of an HTTP request and the service that gets it.
func (c *Core) admitRouted(now clock.Instant, r Request) (*task, verdict.Reason) {
	entry := c.routes.Match(r.Host, r.Path)
	if entry == nil {
		return nil, verdict.ReasonUnknownRoute
	}
	r.Service, r.Operation = entry.Next(), entry.Route.Name
	service := c.view.Preset.Service(r.Service)
	if service == nil {
		return nil, verdict.ReasonUnknownService
	}
	if service.Ranged && !r.Numbered {
		return nil, verdict.ReasonMissingKey
	}
	t := c.newTask(now, r, service, entry.Route.Idempotent, entry.Route.Timeout)
	t.route = entry.Route
	t.ranged = service.Ranged
	if !t.ranged {
		t.place(service)
	}
	if entry.Route.Objective > 0 {
		t.objective = now.Add(entry.Route.Objective - entry.Elapsed(r.Timeout, r.Nested))
	}
	t.patience = now.Add(patienceOf(entry.Route, t.deadline.Sub(now)))
	c.earn(t, service)
	return t, verdict.ReasonNone
}

// patienceOf returns how long a request with some time left waits for a door
// to open. A caller that is told soon can come back in time.
func patienceOf(route *fleet.Route, left time.Duration) time.Duration {
	if route.Objective <= 0 {
		return left
	}
	return min(left, time.Duration(patienceShare*float64(route.Objective)))
}

func (c *Core) newTask(now clock.Instant, r Request, service *fleet.Service, idempotent bool, limit time.Duration) *task {
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return &task{
		request: r, idempotent: idempotent, deadline: now.Add(limit), patience: clock.Never, reason: verdict.ReasonNoOwner,
		service: c.service(service.Name), parkedAt: notParked,
	}
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
	case !t.idempotent && !t.request.Delegated && service.RecordWindow > 0:
		t.sharded = true
		t.shard = fleet.ShardOf(service.Name, t.request.ID, service.Shards)
	}
}

// mayHedge reports whether two calls of the request may be under way at once.
func (t *task) mayHedge() bool {
	return t.idempotent && !t.sharded && !t.ranged && !t.request.Delegated
}
