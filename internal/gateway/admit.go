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

// maxWaitShare is the share of a route's objective for which a request waits for
// an executor to become available.
const maxWaitShare = 0.5

// Start admits a caller's request and dispatches it, or refuses it. A refusal at
// this point proves nothing about earlier sends of the request, so a resend is
// answered may-have-run.
func (c *Core) Start(now clock.Instant, r Request) {
	p, reason := c.admit(now, r)
	if reason != verdict.ReasonNone {
		answer := call.Answer{RequestID: r.ID, Verdict: verdict.NotRun, Reason: reason}
		if r.Resend {
			answer.Verdict = verdict.MayHaveRun
		}
		c.output.Replies = append(c.output.Replies, Reply{Token: r.Token, Answer: answer})
		c.logAnswer(event.RequestFinished, &r, &answer)
		return
	}
	c.reportNested(now, p)
	c.requestsByToken[r.Token] = p
	p.timer = p.deadline
	heap.Push(&c.timers, p)
	if p.deadline <= now {
		p.reason = verdict.ReasonDeadline
		c.expire(now, p)
		return
	}
	c.dispatch(now, p)
}

// admit returns the pending request, or why the view lease, the preset or the
// request itself does not allow it.
func (c *Core) admit(now clock.Instant, r Request) (*pendingRequest, verdict.Reason) {
	if c.stopping {
		return nil, verdict.ReasonStopping
	}
	if now >= c.viewExpiry {
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
	p := c.newPendingRequest(now, r, service, operation.Idempotent, operation.Deadline)
	p.assignShard(service)
	c.fillBudgets(p, service)
	return p, verdict.ReasonNone
}

// admitRouted matches an HTTP request to a route and one of its target services.
func (c *Core) admitRouted(now clock.Instant, r Request) (*pendingRequest, verdict.Reason) {
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
	p := c.newPendingRequest(now, r, service, entry.Route.Idempotent, entry.Route.Timeout)
	p.route = entry.Route
	p.ranged = service.Ranged
	if !p.ranged {
		p.assignShard(service)
	}
	if entry.Route.Objective > 0 {
		p.objective = r.receivedAt(now).Add(entry.Route.Objective - entry.Elapsed(r.Timeout, r.Nested))
	}
	if c.outlasts(now, p) {
		return nil, verdict.ReasonStopping
	}
	p.waitUntil = now.Add(maxWait(entry.Route, p.deadline.Sub(now)))
	c.fillBudgets(p, service)
	return p, verdict.ReasonNone
}

// maxWait returns how long a request with the given time left waits for an
// executor. It is a share of the objective, so that a caller refused for lack of
// an executor can still resend in time.
func maxWait(route *fleet.Route, left time.Duration) time.Duration {
	if route.Objective <= 0 {
		return left
	}
	return min(left, time.Duration(maxWaitShare*float64(route.Objective)))
}

// newPendingRequest returns a request whose deadline is the given limit or the
// caller's timeout, whichever is shorter, after its arrival.
func (c *Core) newPendingRequest(now clock.Instant, r Request, service *fleet.Service, idempotent bool, limit time.Duration) *pendingRequest {
	if r.Timeout > 0 {
		limit = min(limit, r.Timeout)
	}
	return &pendingRequest{
		request: r, idempotent: idempotent, deadline: r.receivedAt(now).Add(limit), waitUntil: clock.Never, reason: verdict.ReasonNoOwner,
		service: c.service(service.Name), parkedIndex: notParked,
	}
}

// fillBudgets deposits the request's share in the budgets of its service. A
// delegated request was counted at the gateway where it entered the fleet;
// counting it again would multiply the budgets with each hop.
func (c *Core) fillBudgets(p *pendingRequest, service *fleet.Service) {
	if p.request.Delegated {
		return
	}
	p.service.retryBudget.deposit(service.RetryBudget)
	if p.hedgeable() && service.HedgeQuantile > 0 && !c.settings.NoHedging {
		p.service.hedgeBudget.deposit(service.HedgeBudget)
		p.hedgeQuantile = service.HedgeQuantile
	}
}

// assignShard assigns the request to the shard of its key. A non-idempotent
// request of an unkeyed service belongs to the shard of its request ID, whose owner
// keeps its deduplication record.
func (p *pendingRequest) assignShard(service *fleet.Service) {
	switch {
	case service.Keyed:
		p.sharded = true
		p.shard = fleet.ShardOf(service.Name, p.request.Key, service.Shards)
	case !p.idempotent && !p.request.Delegated && service.RecordWindow > 0:
		p.sharded = true
		p.shard = fleet.ShardOf(service.Name, p.request.ID, service.Shards)
	}
}

// hedgeable reports whether two calls of the request may be in flight at once.
func (p *pendingRequest) hedgeable() bool {
	return p.idempotent && !p.sharded && !p.ranged && !p.request.Delegated
}
