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
	maxTries = 64 // calls of one request, redirections included
	// maxRefusals is the number of doors without room after which a request is
	// refused: two choices find room if there is any to speak of.
	maxRefusals = 2
)

// try sends the request to a door, or waits for one.
func (c *Core) try(now clock.Instant, t *task) {
	router, ok := c.pick(now, t)
	if !ok {
		c.wait(now, t)
		return
	}
	c.unpark(t)
	c.send(now, t, router, false)
	c.armHedge(now, t)
}

// send makes a call of the request under way.
func (c *Core) send(now clock.Instant, t *task, router fleet.Router, hedge bool) {
	c.number++
	t.tries++
	t.tried = append(t.tried, router.ID)
	t.calls = append(t.calls, c.number)
	c.flights[c.number] = flight{
		task: t, router: router.ID, sent: now, hedge: hedge, outstanding: c.table.Sent(router.ID, now),
	}
	r := &t.request
	c.output.Sends = append(c.output.Sends, Send{Router: router, Call: call.Call{
		Number: c.number, RequestID: r.ID, Service: r.Service, Operation: r.Operation, Key: r.Key,
		Idempotent: t.idempotent, Sharded: t.sharded, Shard: t.shard.Number, Resend: r.Resend, Hedge: hedge,
		Recorded: r.Delegated, Body: r.Body, Deadline: t.deadline,
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Nested: r.Nested,
		Ranged: t.ranged, KeyNumber: r.KeyNumber, Priority: t.priority(), Objective: t.objective,
	}})
	why, among := c.reasons(t)
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.RequestRouted,
		event.F("request", r.ID), event.F("service", r.Service), event.F("operation", r.Operation),
		event.F("router", string(router.ID)), event.F("upstream", router.Upstream.Name), event.F("try", t.tries),
		event.F("hedge", hedge), event.F("sharded", t.sharded), event.F("shard", t.shard.Number),
		event.F("key", r.KeyNumber), event.F("view", uint64(c.view.Version)), event.F("left", t.deadline.Sub(now)),
		event.F("why", why), event.F("among", among)))
}

// reasons returns why the door that was just picked was picked, and among which
// with their estimates.
func (c *Core) reasons(t *task) (why string, among []balancer.Estimate) {
	if t.sharded || t.ranged {
		return "owner of the key", nil
	}
	if among = c.table.Considered(); len(among) == 0 {
		return "baseline policy", nil
	}
	return "least estimated time to finish", among
}

// pick returns the owner of the request's shard, or a door not tried yet.
func (c *Core) pick(now clock.Instant, t *task) (fleet.Router, bool) {
	if t.sharded {
		return c.table.Owner(t.shard)
	}
	if t.ranged {
		return c.table.KeyOwner(t.request.Service, t.request.KeyNumber)
	}
	exclude := t.tried
	if t.request.Exclude != "" {
		exclude = append(slices.Clip(exclude), t.request.Exclude)
	}
	return c.table.Choose(t.request.Service, now, exclude)
}
