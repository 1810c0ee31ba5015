package attempt

import (
	"container/heap"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/verdict"
)

// expire ends a request at its deadline. Calls without an answer may have run.
func (c *Core) expire(now clock.Instant, t *task) {
	answer := call.Answer{RequestID: t.request.ID, Verdict: verdict.NotRun, Reason: t.reason}
	if len(t.calls) > 0 {
		answer.Verdict, answer.Reason = verdict.MayHaveRun, verdict.ReasonDeadline
	}
	c.finish(now, t, &answer)
}

// finish answers the request and cancels its other calls. A refusal is a true
// NotRun only if none of the request's calls may have run.
func (c *Core) finish(now clock.Instant, t *task, answer *call.Answer) {
	if t.mayHaveRun && answer.Verdict == verdict.NotRun {
		answer.Verdict = verdict.MayHaveRun
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
