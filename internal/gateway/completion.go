package gateway

import (
	"container/heap"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/verdict"
)

// minRetryAfter is the shortest Retry-After of a refusal, unless the route's
// objective is shorter. Executor queues turn over within this time.
const minRetryAfter = 100 * time.Millisecond

// expire answers a request at its deadline or, if it is parked, at its wait limit.
// The verdict is may-have-run if a call is still in flight.
func (c *Core) expire(now clock.Instant, p *pendingRequest) {
	answer := call.Answer{RequestID: p.request.ID, Verdict: verdict.NotRun, Reason: p.reason}
	if len(p.calls) > 0 {
		answer.Verdict, answer.Reason = verdict.MayHaveRun, verdict.ReasonDeadline
	}
	c.finish(now, p, &answer)
}

// Abandon ends a request whose caller has disconnected, and cancels its calls. An
// unknown token is ignored.
func (c *Core) Abandon(now clock.Instant, token uint64) {
	p, ok := c.requestsByToken[token]
	if !ok {
		return
	}
	answer := call.Answer{RequestID: p.request.ID, Verdict: verdict.NotRun, Reason: verdict.ReasonCancelled}
	if len(p.calls) > 0 {
		answer.Verdict = verdict.MayHaveRun
	}
	c.finish(now, p, &answer)
}

// CallerGone ends the request of a call that was not sent because the caller of the request
// has disconnected.
func (c *Core) CallerGone(now clock.Instant, call uint64) {
	pc, ok := c.callsByNumber[call]
	if !ok {
		return
	}
	c.table.Dropped(pc.outstanding)
	delete(c.callsByNumber, call)
	pc.parent.removeCall(call)
	c.Abandon(now, pc.parent.request.Token)
}

// finish answers a request, cancels its calls still in flight and removes it, so
// that it is answered exactly once. The verdict is not-run only if that is proved
// for all calls of the request and, for a non-idempotent resend, for all earlier
// sends by the caller; otherwise it becomes may-have-run.
func (c *Core) finish(now clock.Instant, p *pendingRequest, answer *call.Answer) {
	unproved := p.request.Resend && !p.idempotent && (p.refusedByLoad || !coversEarlierSends(answer.Reason))
	if answer.Verdict == verdict.NotRun && (p.mayHaveRun || unproved) {
		answer.Verdict = verdict.MayHaveRun
	}
	// The front ends know when a stopping router is back.
	if answer.Verdict == verdict.NotRun && p.route != nil && !c.stopping {
		answer.RetryAfter = c.retryAfter(now, p, answer.Reason)
	}
	if answer.Verdict == verdict.Ran {
		p.service.served.observe(now)
	}
	answer.Service = p.request.Service
	if p.route != nil {
		answer.Route = p.route.Name
	}
	for _, number := range p.calls {
		pc := c.callsByNumber[number]
		c.table.Abandoned(pc.outstanding, now)
		c.observeLatency(now, &pc)
		c.output.Cancels = append(c.output.Cancels, Cancel{Router: pc.router, Number: number})
		delete(c.callsByNumber, number)
	}
	p.calls = nil
	c.unpark(p)
	heap.Remove(&c.timers, p.timerIndex)
	delete(c.requestsByToken, p.request.Token)
	c.output.Replies = append(c.output.Replies, Reply{Token: p.request.Token, Answer: *answer})
	c.logAnswer(event.RequestFinished, &p.request, answer)
}

// retryAfter returns the delay after which a refused caller may resend. For a request
// refused because of the load, with load reports, it is when its turn comes. Otherwise it
// is minRetryAfter, but at most the route's objective, plus a random time below the
// objective, so that callers refused together do not resend together.
func (c *Core) retryAfter(now clock.Instant, p *pendingRequest, reason verdict.Reason) time.Duration {
	if reason == verdict.ReasonOverloaded && c.usesReports() {
		if wait, ok := c.reportedWait(now, p); ok {
			return p.service.returns.reserve(now, returnRequest{
				wait: wait, left: p.deadline.Sub(now), rate: p.service.served.rate(now), returning: p.isReturning(now), random: c.random.Float64(),
				credit: c.random.Float64(),
			})
		}
	}
	route := p.route
	least := min(minRetryAfter, route.Objective)
	return least + time.Duration(c.random.Int64N(int64(max(1, route.Objective))))
}

// coversEarlierSends reports whether a refusal comes from the executor that keeps
// the request's deduplication record, and so proves that no earlier send of the
// request ran either.
func coversEarlierSends(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonOverloaded, verdict.ReasonShed, verdict.ReasonFenced, verdict.ReasonDeadline:
		return true
	default:
		return false
	}
}
