// Package attempt decides at the entry which calls a request becomes: where it
// is sent, when it is tried again and what the caller is told. It is a pure
// state machine; time and answers are arguments.
package attempt

import (
	"container/heap"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/routing"
	"endivespring/internal/verdict"
)

const (
	firstDelay = 15 * time.Millisecond  // first wait before a shard's owner is looked up again
	lastDelay  = 120 * time.Millisecond // longest wait; each is twice the one before
)

// Core holds the requests under way at one entry. It is owned by one duty.
type Core struct {
	table     *routing.Table
	view      *fleet.View
	viewUntil clock.Instant
	number    uint64
	tasks     map[uint64]*task
	flights   map[uint64]flight
	timers    timers
	budgets   map[string]*budget
	output    Output
}

// New returns a core without requests.
func New(seed uint64) *Core {
	return &Core{
		table: routing.NewTable(seed), view: fleet.NewView(),
		tasks: map[uint64]*task{}, flights: map[uint64]flight{}, budgets: map[string]*budget{},
	}
}

// Take returns what the steps since the last Take ask for.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// Len returns the number of requests under way.
func (c *Core) Len() int { return len(c.tasks) }

// View returns the view in use; it must not be changed.
func (c *Core) View() *fleet.View { return c.view }

// SetView applies a change of the view and looks again for owners of shards
// that requests wait for. It reports whether the change fitted.
func (c *Core) SetView(now clock.Instant, change *fleet.Change) bool {
	if !c.view.Apply(change) {
		return false
	}
	c.table.Update(c.view)
	for _, t := range c.tasks {
		if len(t.calls) == 0 {
			c.try(now, t)
		}
	}
	return true
}

// SetViewLease sets the instant from which no new request is taken.
func (c *Core) SetViewLease(until clock.Instant) { c.viewUntil = until }

// Deadline returns when Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	if len(c.timers) == 0 {
		return clock.Never
	}
	return c.timers[0].timer
}

// Start takes a caller's request.
func (c *Core) Start(now clock.Instant, r Request) {
	t, reason := c.admit(now, r)
	if reason != verdict.ReasonNone {
		answer := call.Answer{RequestID: r.ID, Verdict: verdict.NotRun, Reason: reason}
		c.output.Finishes = append(c.output.Finishes, Finish{Token: r.Token, Answer: answer})
		c.decide(event.RequestFinished, r, answer)
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
	t := &task{request: r, idempotent: operation.Idempotent, deadline: now.Add(limit), reason: verdict.ReasonNoOwner}
	t.place(service)
	c.budget(r.Service).earn(service.RetryBudget)
	return t, verdict.ReasonNone
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

func (c *Core) budget(service string) *budget {
	b := c.budgets[service]
	if b == nil {
		b = newBudget()
		c.budgets[service] = b
	}
	return b
}

// try sends the request to a door, or waits for one.
func (c *Core) try(now clock.Instant, t *task) {
	router, ok := c.pick(now, t)
	if !ok {
		c.wait(now, t)
		return
	}
	c.number++
	t.tries++
	t.tried = append(t.tried, router.ID)
	t.calls = append(t.calls, c.number)
	c.flights[c.number] = flight{task: t, router: router.ID, sent: now}
	c.table.Sent(router.ID)
	r := &t.request
	c.output.Sends = append(c.output.Sends, Send{Router: router, Call: call.Call{
		Number: c.number, RequestID: r.ID, Service: r.Service, Operation: r.Operation, Key: r.Key,
		Idempotent: t.idempotent, Sharded: t.sharded, Shard: t.shard.Number, Resend: r.Resend,
		Recorded: r.Delegated, Body: r.Body, Deadline: t.deadline,
	}})
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.RequestRouted,
		event.F("request", r.ID), event.F("service", r.Service), event.F("operation", r.Operation),
		event.F("router", string(router.ID)), event.F("upstream", router.Upstream.Name), event.F("try", t.tries),
		event.F("sharded", t.sharded), event.F("shard", t.shard.Number)))
}

func (c *Core) pick(now clock.Instant, t *task) (fleet.Router, bool) {
	if t.sharded {
		return c.table.Owner(t.shard)
	}
	exclude := t.tried
	if t.request.Exclude != "" {
		exclude = append([]fleet.RouterID{t.request.Exclude}, exclude...)
	}
	return c.table.Choose(t.request.Service, now, exclude)
}

func (c *Core) wait(now clock.Instant, t *task) {
	t.delay = min(lastDelay, max(firstDelay, 2*t.delay))
	t.wake = now.Add(t.delay)
	if !t.sharded {
		t.tried = nil
	}
	c.setTimer(t, min(t.wake, t.deadline))
}

func (c *Core) setTimer(t *task, at clock.Instant) {
	t.timer = at
	heap.Fix(&c.timers, t.index)
}

// Tick does what is due.
func (c *Core) Tick(now clock.Instant) {
	for len(c.timers) > 0 && c.timers[0].timer <= now {
		t := c.timers[0]
		if t.deadline <= now {
			c.expire(now, t)
			continue
		}
		c.setTimer(t, t.deadline)
		if len(t.calls) == 0 {
			c.try(now, t)
		}
	}
}

// expire ends a request at its deadline. Calls without an answer may have run.
func (c *Core) expire(now clock.Instant, t *task) {
	answer := call.Answer{RequestID: t.request.ID, Verdict: verdict.NotRun, Reason: t.reason}
	if len(t.calls) > 0 {
		answer.Verdict, answer.Reason = verdict.MayHaveRun, verdict.ReasonDeadline
	}
	for _, number := range t.calls {
		f := c.flights[number]
		c.table.Answered(f.router, now, now.Sub(f.sent), call.Load{})
		c.output.Suspects = append(c.output.Suspects, f.router)
	}
	c.finish(t, answer)
}

// finish answers the request and cancels its other calls. A refusal is a true
// NotRun only if none of the request's calls may have run.
func (c *Core) finish(t *task, answer call.Answer) {
	if t.mayHaveRun && answer.Verdict == verdict.NotRun {
		answer.Verdict = verdict.MayHaveRun
	}
	for _, number := range t.calls {
		f := c.flights[number]
		c.output.Cancels = append(c.output.Cancels, Cancel{Router: f.router, Number: number})
		delete(c.flights, number)
	}
	t.calls = nil
	heap.Remove(&c.timers, t.index)
	delete(c.tasks, t.request.Token)
	c.output.Finishes = append(c.output.Finishes, Finish{Token: t.request.Token, Answer: answer})
	c.decide(event.RequestFinished, t.request, answer)
}

func (c *Core) decide(definition *event.Definition, r Request, answer call.Answer) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(definition,
		event.F("request", r.ID), event.F("service", r.Service), event.F("operation", r.Operation),
		event.F("verdict", answer.Verdict.String()), event.F("reason", string(answer.Reason)), event.F("upstream", answer.Upstream)))
}

// Answered takes a door's answer. An answer that fits no call under way is
// dropped and counted.
func (c *Core) Answered(now clock.Instant, from fleet.RouterID, answer call.Answer) {
	f, ok := c.flights[answer.Number]
	if !ok || f.router != from || f.task.request.ID != answer.RequestID {
		c.output.Decisions = append(c.output.Decisions, call.Decide(event.AnswerDropped,
			event.F("request", answer.RequestID), event.F("router", string(from))))
		return
	}
	c.table.Answered(from, now, now.Sub(f.sent), answer.Load)
	c.settle(now, answer)
}

// Lost takes the loss of a call's link: the call may have run unless it was
// never handed over.
func (c *Core) Lost(now clock.Instant, number uint64, v verdict.Verdict) {
	f, ok := c.flights[number]
	if !ok {
		return
	}
	c.table.Done(f.router)
	reason := verdict.ReasonConnection
	if v == verdict.NotRun {
		reason = verdict.ReasonUnreachable
	}
	c.settle(now, call.Answer{Number: number, RequestID: f.task.request.ID, Verdict: v, Reason: reason})
}

// LostRouter takes the loss of a link with all its calls.
func (c *Core) LostRouter(now clock.Instant, id fleet.RouterID) {
	for number, f := range c.flights {
		if f.router == id {
			c.Lost(now, number, verdict.MayHaveRun)
		}
	}
}

// settle ends a call and decides whether its request is answered or tried again.
func (c *Core) settle(now clock.Instant, answer call.Answer) {
	t := c.flights[answer.Number].task
	delete(c.flights, answer.Number)
	t.drop(answer.Number)
	t.mayHaveRun = t.mayHaveRun || answer.Verdict == verdict.MayHaveRun
	if answer.Verdict == verdict.Ran || !c.mayRetry(now, t, answer) {
		if len(t.calls) == 0 || answer.Verdict == verdict.Ran {
			c.finish(t, answer)
		}
		return
	}
	t.reason = answer.Reason
	if len(t.calls) > 0 {
		return
	}
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.RequestRetried,
		event.F("request", t.request.ID), event.F("reason", string(answer.Reason)), event.F("verdict", answer.Verdict.String())))
	if t.sharded {
		c.wait(now, t)
		return
	}
	c.try(now, t)
}

func (c *Core) mayRetry(now clock.Instant, t *task, answer call.Answer) bool {
	if !answer.Verdict.Retryable(t.idempotent) || now >= t.deadline {
		return false
	}
	if answer.Verdict == verdict.NotRun && redirects(answer.Reason) {
		return true
	}
	return c.budget(t.request.Service).spend()
}

func (t *task) drop(number uint64) {
	for i, n := range t.calls {
		if n == number {
			t.calls = append(t.calls[:i], t.calls[i+1:]...)
			return
		}
	}
}

// redirects reports whether a refusal says that another door is to be asked.
// Such refusals cost no upstream anything and need no budget.
func redirects(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonNotOwner, verdict.ReasonLeaseExpired, verdict.ReasonNoUpstream, verdict.ReasonStopping,
		verdict.ReasonViewStale, verdict.ReasonUnreachable:
		return true
	default:
		return false
	}
}
