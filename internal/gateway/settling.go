package gateway

import (
	"slices"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Answered takes a door's answer. An answer that fits no call under way is
// dropped and counted.
func (c *Core) Answered(now clock.Instant, from fleet.RouterID, answer call.Answer) {
	f, ok := c.flights[answer.Number]
	if !ok || f.router != from || f.task.request.ID != answer.RequestID {
		c.output.Decisions = append(c.output.Decisions, call.Decide(event.AnswerDropped,
			event.F("request", answer.RequestID), event.F("router", string(from))))
		return
	}
	c.learn(now, &f, &answer)
	c.settle(now, &answer)
}

// learn tells the routing table what an answer says of its door.
func (c *Core) learn(now clock.Instant, f *flight, answer *call.Answer) {
	switch {
	case answer.Verdict == verdict.Ran:
		c.table.Answered(f.outstanding, now, answer.Load)
		c.sample(now, f)
	case answer.Verdict == verdict.MayHaveRun && answer.Reason == verdict.ReasonDeadline:
		c.table.Outlived(f.outstanding, now)
	case busy(answer.Reason):
		c.table.Refused(f.outstanding, now, answer.Load)
	default:
		c.table.Failed(f.outstanding, now)
	}
}

// busy reports whether an answer without a run comes from a door that works: it or its
// upstream has too much to do, or the call itself could not be taken.
func busy(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonOverloaded, verdict.ReasonShed, verdict.ReasonDeadline, verdict.ReasonRequestExpired,
		verdict.ReasonCancelled, verdict.ReasonBodyTooLarge, verdict.ReasonDuplicate, verdict.ReasonRecordLost, verdict.ReasonFenced:
		return true
	default:
		return false
	}
}

// sample takes the latency of a request's first call for the hedging delay.
func (c *Core) sample(now clock.Instant, f *flight) {
	if f.task.hedgeQuantile > 0 && !f.hedge {
		f.task.service.observe(now.Sub(f.sent))
	}
}

// Lost takes the loss of a call's link: the call may have run unless it was
// never handed over.
func (c *Core) Lost(now clock.Instant, number uint64, v verdict.Verdict) {
	f, ok := c.flights[number]
	if !ok {
		return
	}
	c.table.Failed(f.outstanding, now)
	reason := verdict.ReasonConnection
	if v == verdict.NotRun {
		reason = verdict.ReasonUnreachable
	}
	c.settle(now, &call.Answer{Number: number, RequestID: f.task.request.ID, Verdict: v, Reason: reason})
}

// LostRouter takes the loss of a link with all its calls.
func (c *Core) LostRouter(now clock.Instant, id fleet.RouterID) {
	var lost []uint64
	for number, f := range c.flights {
		if f.router == id {
			lost = append(lost, number)
		}
	}
	slices.Sort(lost)
	for _, number := range lost {
		c.Lost(now, number, verdict.MayHaveRun)
	}
}

// settle ends a call and decides whether its request is answered, waits for its
// other call or is tried again.
func (c *Core) settle(now clock.Instant, answer *call.Answer) {
	t := c.flights[answer.Number].task
	delete(c.flights, answer.Number)
	t.drop(answer.Number)
	t.mayHaveRun = t.mayHaveRun || answer.Verdict == verdict.MayHaveRun
	t.reason = answer.Reason
	if reachedUpstream(answer) {
		t.reached++
	} else if !redirects(answer.Reason) {
		t.refusals++
	}
	switch {
	case answer.Verdict == verdict.Ran:
		c.finish(now, t, answer)
	case len(t.calls) > 0:
	case c.mayRetry(now, t, answer):
		c.retry(now, t, answer)
	default:
		c.finish(now, t, answer)
	}
}

func (c *Core) mayRetry(now clock.Instant, t *task, answer *call.Answer) bool {
	if !answer.Verdict.Retryable(t.idempotent) || now >= t.deadline || t.tries >= maxTries {
		return false
	}
	if t.route != nil {
		return c.mayRetryRouted(now, t, answer)
	}
	if answer.Verdict == verdict.NotRun && redirects(answer.Reason) {
		return true
	}
	return t.service.retries.spend()
}

// mayRetryRouted also keeps to the number of upstreams that the route allows.
// A door's refusal costs no upstream anything and needs no budget.
func (c *Core) mayRetryRouted(now clock.Instant, t *task, answer *call.Answer) bool {
	if !reachedUpstream(answer) {
		return now < t.patience && (redirects(answer.Reason) || t.refusals < maxRefusals)
	}
	return t.reached < t.route.MaxUpstreams && t.service.retries.spend()
}

// reachedUpstream reports whether an upstream may have got the call.
func reachedUpstream(answer *call.Answer) bool {
	if answer.Verdict != verdict.NotRun {
		return true
	}
	switch answer.Reason {
	case verdict.ReasonShed, verdict.ReasonFenced:
		return true
	default:
		return false
	}
}

func (c *Core) retry(now clock.Instant, t *task, answer *call.Answer) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.RequestRetried,
		event.F("request", t.request.ID), event.F("reason", string(answer.Reason)), event.F("verdict", answer.Verdict.String())))
	if t.sharded || t.ranged {
		c.wait(now, t)
		return
	}
	c.try(now, t)
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
