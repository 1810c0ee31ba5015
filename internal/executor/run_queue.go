package executor

import (
	"cmp"
	"slices"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/verdict"
)

// startQueued starts queued calls in order as long as the concurrency limit and
// the pace of a cold upstream allow, and refuses those that must not start any
// more. Ownership and leases are checked here again, right before the start.
func (c *Core) startQueued(now clock.Instant) {
	c.steppedAt = now
	c.refuseExpired(now)
	c.reportEarly(now)
	for c.queue.length > 0 {
		j := c.nextJob()
		if reason := c.startRefusal(now, j); reason != verdict.ReasonNone {
			c.finish(j, call.Refusal(&j.call, verdict.NotRun, reason))
			continue
		}
		if !c.reserveSlot(now) {
			return
		}
		c.queue.remove(j)
		c.start(now, j)
	}
}

// reserveSlot reserves a slot of the upstream. If only the pace of a cold
// upstream delays the call, it schedules the next attempt.
func (c *Core) reserveSlot(now clock.Instant) bool {
	c.nextPacedStart = clock.Never
	if c.limiter.Running() >= c.limiter.Limit() {
		return false
	}
	if !c.limiter.TakePaceToken(now) {
		c.nextPacedStart = c.limiter.NextPacedStart(now)
		return false
	}
	return c.limiter.Start()
}

// startRefusal returns why a queued call must not start any more, or
// verdict.ReasonNone.
func (c *Core) startRefusal(now clock.Instant, j *job) verdict.Reason {
	switch {
	case !j.hasWaiters():
		return verdict.ReasonCancelled
	case c.startsNone, now >= c.lastStart(&j.call):
		return verdict.ReasonStopping
	case now >= j.call.Deadline:
		return verdict.ReasonDeadline
	case now >= j.startBy:
		return verdict.ReasonOverloaded
	case now >= c.viewExpiry:
		return verdict.ReasonViewStale
	case j.call.Ranged && c.unavailableForRanges(now, j.call.Service), !j.call.Ranged && c.unavailable(j.call.Service):
		return verdict.ReasonNoUpstream
	case j.call.Sharded && !c.owns(j):
		return verdict.ReasonNotOwner
	case j.call.Sharded && now >= c.ownershipExpiry:
		return verdict.ReasonLeaseExpired
	case j.call.Ranged:
		return c.rangeRefusal(now, &j.call)
	default:
		return verdict.ReasonNone
	}
}

// mustNotRestart reports whether a sharded job must not be queued or delegated
// again.
func (c *Core) mustNotRestart(now clock.Instant, j *job) bool {
	return !j.hasWaiters() || now >= j.call.Deadline || now >= c.ownershipExpiry || !c.owns(j)
}

// start asks for the run of a job. The sender gets the fence and the deadline
// that follow from the leases.
func (c *Core) start(now clock.Instant, j *job) {
	j.phase, j.started, j.upstream, j.concurrency = jobRunning, now, c.upstream, c.limiter.Running()
	c.running.begin(now, j.work)
	if j.share != nil {
		c.shares.give(now, j.share, j.work)
	}
	run := Run{ID: j.run, Upstream: c.upstream, Call: j.call, Epoch: j.epoch, Deadline: j.call.Deadline, Fence: j.call.Deadline}
	run.RefusedBefore = c.refused.has(j.call.RequestID)
	if j.call.Sharded {
		run.Fence = min(run.Fence, c.ownershipExpiry)
		if c.keyed() {
			run.Deadline = run.Fence
		}
	}
	if j.call.Ranged {
		run.Fence = min(run.Fence, c.keyExpiry(j.call.KeyNumber))
	}
	j.rank, j.statedDeadline = 0, run.Deadline
	c.timers.add(j)
	c.output.Runs = append(c.output.Runs, run)
}

// delegate hands a call to another executor; this one keeps its record.
func (c *Core) delegate(j *job) {
	j.phase, j.wasDelegated = jobDelegated, true
	c.delegated++
	c.timers.add(j)
	c.output.Delegations = append(c.output.Delegations, Delegation{Run: j.run, Call: j.call})
}

// Complete takes the outcome of a run or a delegation.
func (c *Core) Complete(now clock.Instant, outcome Outcome) {
	j, ok := c.jobs[outcome.Run]
	if !ok || j.phase == jobQueued {
		return
	}
	c.steppedAt = now
	answer := outcome.Answer
	answer.RequestID = j.call.RequestID
	if j.phase == jobRunning {
		c.endRun(now, j, now.Sub(j.started))
		c.slowdown.observe(now, outcome.Report)
		if c.finishRun(now, j, &outcome) {
			c.logLimit("completion")
			if c.load.timed() {
				c.refuseBeyondLimit(now)
			}
		}
		answer.Upstream = j.upstream.Name
		if refusedByUpstream(&answer) {
			c.refused.add(j.call.RequestID)
		}
		c.earlyReport.observe(&j.call, answer.Reason)
		if j.call.Ranged && answer.Reason == verdict.ReasonFenced {
			c.rangeRequests.keyRefused(now, j.call.KeyNumber)
		}
		if answer.Verdict == verdict.Ran {
			c.observeRun(j.call.Operation, now.Sub(j.started))
			if c.load.ParentAdmission {
				c.parents.learn(j.call.Operation, j.nested)
			}
			c.keyMeter.observeRun(now.Sub(j.started))
			c.learn(now, j, &outcome)
		}
	}
	if answer.Verdict != verdict.Ran {
		c.log(event.RunFailed, event.F("request", j.call.RequestID), event.F("upstream", j.upstream.Name), event.F("boot", j.upstream.Boot),
			event.F("verdict", answer.Verdict.String()), event.F("reason", string(answer.Reason)), event.F("took", now.Sub(j.started)))
	}
	answer.Epoch = j.epoch
	if !c.retryNotRun(now, j, &answer) {
		c.finish(j, answer)
	}
	c.startQueued(now)
}

// finishRun frees the slot of a run and adapts the limit. It reports whether the limit changed.
func (c *Core) finishRun(now clock.Instant, j *job, outcome *Outcome) bool {
	if outcome.Health == admission.Shed {
		return c.limiter.FinishShed(now, j.concurrency)
	}
	return c.limiter.Finish(now, outcome.Health, now.Sub(j.started))
}

// refusedByUpstream reports whether the upstream itself refused a run.
func refusedByUpstream(answer *call.Answer) bool {
	return answer.Verdict == verdict.NotRun && (answer.Reason == verdict.ReasonShed || answer.Reason == verdict.ReasonFenced)
}

// retryNotRun retries a recorded call that is known not to have run: at another
// executor if this one's upstream refused it, or in the local queue if no other
// executor accepted it. It reports whether the call is retried.
func (c *Core) retryNotRun(now clock.Instant, j *job, answer *call.Answer) bool {
	if j.record == nil || answer.Verdict != verdict.NotRun || j.timedOut || c.mustNotRestart(now, j) {
		return false
	}
	if j.phase == jobRunning && !j.wasDelegated && c.mayDelegate(&j.call) {
		c.timers.remove(j)
		c.delegate(j)
		return true
	}
	if j.phase == jobDelegated && !c.unavailable(j.call.Service) && c.finishesInTime(now, &j.call) {
		c.timers.remove(j)
		c.delegated--
		j.phase = jobQueued
		c.enqueue(now, j, c.orderOf(now, &j.call))
		return true
	}
	return false
}

// finish answers all callers of a job, settles its record and, if its shard is
// revoked, releases the shard once no other call of it is in flight.
func (c *Core) finish(j *job, answer call.Answer) {
	for _, ticket := range j.tickets {
		delete(c.tickets, ticket)
		c.reply(ticket, answer)
	}
	if j.phase == jobQueued {
		c.queue.remove(j)
	} else {
		c.timers.remove(j)
	}
	if j.phase == jobDelegated {
		c.delegated--
	}
	delete(c.jobs, j.run)
	if j.share != nil {
		j.share.jobs--
	}
	c.settleRecord(j, answer)
	if j.call.Sharded {
		c.shards.endCall(j.call.ShardID())
		c.releaseShard(j.call.ShardID())
	}
}

// settleRecord removes the record of a call that did not run, and records the
// answer otherwise.
func (c *Core) settleRecord(j *job, answer call.Answer) {
	switch {
	case j.record == nil:
	case answer.Verdict == verdict.NotRun:
		j.record.job = nil
		c.records.forget(j.record)
	default:
		c.records.settle(j.record, answer)
	}
}

// Cancel removes a caller that no longer waits for a call. Without other
// callers, a call that is queued or whose run was not taken yet is dropped, and
// an idempotent run is cancelled at the upstream. A non-idempotent run goes on,
// so that its record holds the answer for a resend.
func (c *Core) Cancel(now clock.Instant, ticket Ticket) {
	j, ok := c.tickets[ticket]
	if !ok {
		return
	}
	delete(c.tickets, ticket)
	j.dropTicket(ticket)
	switch {
	case j.hasWaiters():
	case j.phase == jobQueued:
		c.finish(j, call.Refusal(&j.call, verdict.NotRun, verdict.ReasonCancelled))
		c.startQueued(now)
	case j.phase == jobRunning && c.withdrawRun(j):
		c.endRun(now, j, 0)
		c.limiter.Finish(now, admission.Neutral, 0)
		c.finish(j, call.Refusal(&j.call, verdict.NotRun, verdict.ReasonCancelled))
		c.startQueued(now)
	case j.phase == jobRunning && j.record == nil && j.call.Idempotent:
		c.abort(j)
	}
}

// withdrawRun removes the run of a job from the output and reports whether it was
// still there, that is, whether no sender can have got it.
func (c *Core) withdrawRun(j *job) bool {
	for i := range c.output.Runs {
		if c.output.Runs[i].ID == j.run {
			c.output.Runs = slices.Delete(c.output.Runs, i, i+1)
			return true
		}
	}
	return false
}

func (c *Core) abort(j *job) {
	c.output.Aborts = append(c.output.Aborts, Abort{Run: j.run, Upstream: j.upstream, RequestID: j.call.RequestID})
}

// CancelLink cancels all calls of a closed link.
func (c *Core) CancelLink(now clock.Instant, link uint64) {
	var tickets []Ticket
	for ticket := range c.tickets {
		if ticket.Link == link {
			tickets = append(tickets, ticket)
		}
	}
	slices.SortFunc(tickets, func(a, b Ticket) int { return cmp.Compare(a.Number, b.Number) })
	for _, ticket := range tickets {
		c.Cancel(now, ticket)
	}
}

// reply sends an answer, with the current load, to one caller.
func (c *Core) reply(ticket Ticket, answer call.Answer) {
	answer.Number = ticket.Number
	answer.Load = c.Load()
	c.output.Replies = append(c.output.Replies, Reply{Ticket: ticket, Answer: answer})
}
