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

// leastRetryAfter is the shortest time after which a refused caller is asked to
// come back; queues turn over within it.
const leastRetryAfter = 100 * time.Millisecond

// expire ends a request at its deadline. Calls without an answer may have run.
func (c *Core) expire(now clock.Instant, t *task) {
	answer := call.Answer{RequestID: t.request.ID, Verdict: verdict.NotRun, Reason: t.reason}
	if len(t.calls) > 0 {
		answer.Verdict, answer.Reason = verdict.MayHaveRun, verdict.ReasonDeadline
	}
	c.finish(now, t, &answer)
}

// Abandon ends a request whose caller has gone away, and cancels its calls. A
// token that is not known is ignored.
func (c *Core) Abandon(now clock.Instant, token uint64) {
	t, ok := c.tasks[token]
	if !ok {
		return
	}
	answer := call.Answer{RequestID: t.request.ID, Verdict: verdict.NotRun, Reason: verdict.ReasonCancelled}
	if len(t.calls) > 0 {
		answer.Verdict = verdict.MayHaveRun
	}
	c.finish(now, t, &answer)
}

// finish answers the request and cancels its other calls. A refusal is a true
// NotRun only if none of the request's calls may have run, nor what the caller
// sent before.
func (c *Core) finish(now clock.Instant, t *task, answer *call.Answer) {
	unproved := t.request.Resend && !t.idempotent && !ownersRefusal(answer.Reason)
	if answer.Verdict == verdict.NotRun && (t.mayHaveRun || unproved) {
		answer.Verdict = verdict.MayHaveRun
	}
	if answer.Verdict == verdict.NotRun && t.route != nil {
		answer.RetryAfter = c.retryAfter(t.route)
	}
	answer.Service = t.request.Service
	if t.route != nil {
		answer.Route = t.route.Name
	}
	for _, number := range t.calls {
		f := c.flights[number]
		c.table.Outlived(f.outstanding, now)
		c.sample(now, &f)
		c.output.Cancels = append(c.output.Cancels, Cancel{Router: f.router, Number: number})
		delete(c.flights, number)
	}
	t.calls = nil
	c.unpark(t)
	heap.Remove(&c.timers, t.index)
	delete(c.tasks, t.request.Token)
	c.output.Finishes = append(c.output.Finishes, Finish{Token: t.request.Token, Answer: *answer})
	c.decide(event.RequestFinished, &t.request, answer)
}

// retryAfter returns when a refused caller may come back: soon enough for its
// objective, spread so that those refused together do not return together.
func (c *Core) retryAfter(route *fleet.Route) time.Duration {
	least := min(leastRetryAfter, route.Objective)
	return least + time.Duration(c.random.Int64N(int64(max(1, route.Objective))))
}

// ownersRefusal reports whether a refusal comes from the door that keeps the
// request's record, so that it speaks for earlier sends of the request too.
func ownersRefusal(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonOverloaded, verdict.ReasonShed, verdict.ReasonFenced, verdict.ReasonDeadline:
		return true
	default:
		return false
	}
}
