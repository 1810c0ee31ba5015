package gateway

import (
	"slices"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
)

const (
	maxAttempts = 64 // limit of the calls of one request, redirected ones included
	// maxExecutorRefusals is the number of executors without capacity after which a
	// routed request is refused. With power of two choices, two attempts find capacity
	// unless there is hardly any left.
	maxExecutorRefusals = 2
)

// dispatch sends the request to an executor, or parks it if none is available. With load
// reports, it refuses a request that cannot start in time anywhere.
func (c *Core) dispatch(now clock.Instant, p *pendingRequest) {
	admission := c.checkLoad(now, p)
	if admission.Refused {
		c.refuseByLoad(now, p, &admission)
		return
	}
	router, ok := admission.Router, admission.Forced
	if !ok {
		router, ok = c.chooseExecutor(now, p)
	}
	if !ok {
		c.parkWithBackoff(now, p)
		return
	}
	c.unpark(p)
	c.send(now, p, router, false)
	c.scheduleHedge(now, p)
}

// send sends a call of the request to a router's executor and logs the choice.
func (c *Core) send(now clock.Instant, p *pendingRequest, router fleet.Router, hedge bool) {
	c.lastCall++
	p.attempts++
	p.retryWithdrawn = false
	p.attempted = append(p.attempted, router.ID)
	p.calls = append(p.calls, c.lastCall)
	wait, _ := c.table.ExecutorWait(router.ID, now)
	c.callsByNumber[c.lastCall] = pendingCall{
		parent: p, router: router.ID, sent: now, hedge: hedge, wait: wait, outstanding: c.table.Sent(router.ID, now),
	}
	r := &p.request
	c.output.Sends = append(c.output.Sends, Send{Token: r.Token, Router: router, Call: call.Call{
		Number: c.lastCall, RequestID: r.ID, Service: r.Service, Operation: r.Operation, Key: r.Key,
		Idempotent: p.idempotent, Sharded: p.sharded, Shard: p.shard.Number, Resend: r.Resend, Hedge: hedge,
		Recorded: r.Delegated, Body: r.Body, Deadline: p.deadline,
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Nested: r.Nested,
		Ranged: p.ranged, KeyNumber: r.KeyNumber, Priority: p.priority(), Objective: p.objective,
	}})
	why, among := c.explainChoice(p)
	if !p.sharded && !p.ranged && c.table.Overflowed() {
		c.output.Overflow++
	}
	c.output.Events = append(c.output.Events, call.NewEvent(event.RequestRouted,
		event.F("request", r.ID), event.F("service", r.Service), event.F("operation", r.Operation),
		event.F("router", string(router.ID)), event.F("upstream", router.Upstream.Name), event.F("try", p.attempts),
		event.F("hedge", hedge), event.F("sharded", p.sharded), event.F("shard", p.shard.Number),
		event.F("key", r.KeyNumber), event.F("view", uint64(c.view.Version)), event.F("left", p.deadline.Sub(now)),
		event.F("why", why), event.F("among", among)))
}

// explainChoice returns why the executor just chosen was chosen, and the executors
// that were compared with their estimates.
func (c *Core) explainChoice(p *pendingRequest) (why string, among []balancer.Estimate) {
	if p.sharded || p.ranged {
		return "owner of the key", nil
	}
	if c.usesReports() && c.table.Overflowed() {
		return "no room in the own data centre", c.table.Compared()
	}
	if among = c.table.Compared(); len(among) == 0 && c.usesReports() {
		return "few have room, or to renew a report", nil
	} else if len(among) == 0 {
		return "baseline policy", nil
	}
	return "least estimated time to finish", among
}

// chooseExecutor returns the owner of the request's shard or key, or for other
// requests an executor that was not attempted yet.
func (c *Core) chooseExecutor(now clock.Instant, p *pendingRequest) (fleet.Router, bool) {
	if p.sharded {
		return c.table.Owner(p.shard)
	}
	if p.ranged {
		return c.table.KeyOwner(p.request.Service, p.request.KeyNumber)
	}
	exclude := p.attempted
	if p.request.Exclude != "" {
		exclude = append(slices.Clip(exclude), p.request.Exclude)
	}
	return c.table.Choose(p.request.Service, now, exclude)
}
