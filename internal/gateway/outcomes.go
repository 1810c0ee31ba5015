package gateway

import (
	"slices"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// HandleAnswer handles an executor's answer. An answer that does not match a call in flight by
// number, router and request ID is dropped and reported as an event.
func (c *Core) HandleAnswer(now clock.Instant, from fleet.RouterID, answer call.Answer) {
	pc, ok := c.callsByNumber[answer.Number]
	if !ok || pc.router != from || pc.parent.request.ID != answer.RequestID {
		c.output.Events = append(c.output.Events, call.NewEvent(event.AnswerDropped,
			event.F("request", answer.RequestID), event.F("router", string(from))))
		return
	}
	c.recordOutcome(now, &pc, &answer)
	c.completeCall(now, &answer)
}

// HandleReport handles a load report that an executor sent between answers.
func (c *Core) HandleReport(now clock.Instant, from fleet.RouterID, load call.Load) {
	c.table.Reported(from, now, load)
}

// recordOutcome updates the balancer with what an answer says about its executor.
func (c *Core) recordOutcome(now clock.Instant, pc *pendingCall, answer *call.Answer) {
	switch {
	case answer.Verdict == verdict.Ran:
		c.table.Answered(pc.outstanding, now, answer.Load)
		c.observeLatency(now, pc)
		c.observeRun(now, pc)
	case answer.Verdict == verdict.MayHaveRun && answer.Reason == verdict.ReasonDeadline:
		c.table.Abandoned(pc.outstanding, now)
	case executorResponsive(answer.Reason):
		c.table.Refused(pc.outstanding, now, answer.Load)
	case isKeyRedirect(answer.Reason):
		c.table.Redirected(pc.outstanding, now)
	default:
		c.table.Failed(pc.outstanding, now)
	}
}

// executorResponsive reports whether a refusal comes from a working executor: it or
// its upstream is overloaded, or the call itself was not acceptable.
func executorResponsive(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonOverloaded, verdict.ReasonShed, verdict.ReasonDeadline, verdict.ReasonRequestExpired,
		verdict.ReasonCancelled, verdict.ReasonBodyTooLarge, verdict.ReasonDuplicate, verdict.ReasonRecordLost, verdict.ReasonFenced:
		return true
	default:
		return false
	}
}

// observeLatency records the latency of a request's first call for the hedge delay.
func (c *Core) observeLatency(now clock.Instant, pc *pendingCall) {
	if pc.parent.hedgeQuantile > 0 && !pc.hedge {
		pc.parent.service.observe(now.Sub(pc.sent))
	}
}

// HandleLostCall handles the loss of the link on which a call was sent. The verdict is
// not-run if the call was never handed to the link, and may-have-run otherwise.
func (c *Core) HandleLostCall(now clock.Instant, number uint64, v verdict.Verdict) {
	pc, ok := c.callsByNumber[number]
	if !ok {
		return
	}
	c.table.Failed(pc.outstanding, now)
	reason := verdict.ReasonConnection
	if v == verdict.NotRun {
		reason = verdict.ReasonUnreachable
	}
	c.completeCall(now, &call.Answer{Number: number, RequestID: pc.parent.request.ID, Verdict: v, Reason: reason})
}

// HandleLostLink handles the loss of a link to a router: all calls in flight on it, those
// with the numbers from first to last, may have run. Calls to the router on other links are
// left alone.
func (c *Core) HandleLostLink(now clock.Instant, id fleet.RouterID, first, last uint64) {
	var lost []uint64
	for number, pc := range c.callsByNumber {
		if pc.router == id && first <= number && number <= last {
			lost = append(lost, number)
		}
	}
	slices.Sort(lost)
	for _, number := range lost {
		c.HandleLostCall(now, number, verdict.MayHaveRun)
	}
}

// completeCall ends a call and decides whether its request is answered, waits for
// its other call or is retried.
func (c *Core) completeCall(now clock.Instant, answer *call.Answer) {
	p := c.callsByNumber[answer.Number].parent
	delete(c.callsByNumber, answer.Number)
	p.removeCall(answer.Number)
	p.mayHaveRun = p.mayHaveRun || answer.Verdict == verdict.MayHaveRun
	p.reason = answer.Reason
	if reachedUpstream(answer) {
		p.upstreamAttempts++
	} else if !isRedirect(answer.Reason) {
		p.executorRefusals++
	}
	switch {
	case answer.Verdict == verdict.Ran:
		c.finish(now, p, answer)
	case len(p.calls) > 0:
	case c.mayRetry(now, p, answer):
		c.retry(now, p, answer)
	default:
		c.finish(now, p, answer)
	}
}

// mayRetry reports whether a request may be sent again after a call of it ended without an
// upstream's answer, and withdraws a token of the retry budget where one is needed. Only a
// request proved not to have run, or an idempotent one, is sent again. A redirect costs no
// upstream anything and needs no token.
func (c *Core) mayRetry(now clock.Instant, p *pendingRequest, answer *call.Answer) bool {
	if c.stopping && !p.mayHaveRun {
		return false
	}
	if c.usesReports() && c.ownerRuns(p) && answer.Verdict == verdict.NotRun && answer.Reason == verdict.ReasonOverloaded {
		return false // the one owner is still full at a second try
	}
	if !answer.Verdict.Retryable(p.idempotent) || now >= p.deadline || p.attempts >= maxAttempts {
		return false
	}
	if p.route != nil {
		return c.mayRetryRouted(now, p, answer)
	}
	if answer.Verdict == verdict.NotRun && isRedirect(answer.Reason) {
		return true
	}
	return p.withdrawRetry()
}

// mayRetryRouted is mayRetry for a request with a route, which limits the number of
// upstreams that may be attempted. A refusal by an executor costs no upstream anything and
// needs no token.
func (c *Core) mayRetryRouted(now clock.Instant, p *pendingRequest, answer *call.Answer) bool {
	if !reachedUpstream(answer) {
		return now < p.waitUntil && (isRedirect(answer.Reason) || p.executorRefusals < maxExecutorRefusals)
	}
	return p.upstreamAttempts < p.route.MaxUpstreams && p.withdrawRetry()
}

// reachedUpstream reports whether the call may have reached an upstream.
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

// retry dispatches a request again. A request with an owner is parked first, since
// it can only go to the same owner until the view changes.
func (c *Core) retry(now clock.Instant, p *pendingRequest, answer *call.Answer) {
	c.output.Events = append(c.output.Events, call.NewEvent(event.RequestRetried,
		event.F("request", p.request.ID), event.F("reason", string(answer.Reason)), event.F("verdict", answer.Verdict.String())))
	if p.sharded || p.ranged {
		c.parkWithBackoff(now, p)
		return
	}
	c.dispatch(now, p)
}

// isKeyRedirect reports whether a working executor refused a call because it does not hold
// the key. One without an upstream, or one that is stopping, has failed for any call.
func isKeyRedirect(reason verdict.Reason) bool {
	return reason == verdict.ReasonNotOwner || reason == verdict.ReasonLeaseExpired || reason == verdict.ReasonViewStale
}

// isRedirect reports whether a refusal means that another executor has to be asked.
func isRedirect(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonNotOwner, verdict.ReasonLeaseExpired, verdict.ReasonNoUpstream, verdict.ReasonStopping,
		verdict.ReasonViewStale, verdict.ReasonUnreachable:
		return true
	default:
		return false
	}
}
