package executor

import (
	"cmp"
	"slices"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/verdict"
)

// fill hands queued calls to the upstream as long as the limit allows, those
// with the earliest deadline first. Calls that can no longer run are refused.
func (c *Core) startQueued(now clock.Instant) {
	c.refuseExpired(now)
	for len(c.queue) > 0 {
		j := c.queue[0]
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

// startable takes a place at the upstream. If only its pace is in the way,
// fill is due again when that allows the next call.
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

// stale returns why a queued call must not run any more, or no reason.
func (c *Core) startRefusal(now clock.Instant, j *job) verdict.Reason {
	switch {
	case !j.hasWaiters():
		return verdict.ReasonCancelled
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

// abandoned reports whether a sharded job must not start again.
func (c *Core) mustNotRestart(now clock.Instant, j *job) bool {
	return !j.hasWaiters() || now >= j.call.Deadline || now >= c.ownershipExpiry || !c.owns(j)
}

func (c *Core) start(now clock.Instant, j *job) {
	j.phase, j.started, j.upstream = jobRunning, now, c.upstream
	run := Run{ID: j.run, Upstream: c.upstream, Call: j.call, Epoch: j.epoch, Deadline: j.call.Deadline, Fence: j.call.Deadline}
	if j.call.Sharded {
		run.Fence = min(run.Fence, c.ownershipExpiry)
		if c.keyed() {
			run.Deadline = run.Fence
		}
	}
	if j.call.Ranged {
		run.Fence = min(run.Fence, c.rangeLeases.keyExpiry(c.view, j.call.KeyNumber))
	}
	j.rank = 0
	c.timers.add(j)
	c.output.Runs = append(c.output.Runs, run)
}

// delegate hands a call to another door; this one keeps its record.
func (c *Core) delegate(j *job) {
	j.phase, j.wasDelegated = jobDelegated, true
	c.delegated++
	c.timers.add(j)
	c.output.Delegations = append(c.output.Delegations, Delegation{Run: j.run, Call: j.call})
}

// Complete takes the outcome of a run.
func (c *Core) Complete(now clock.Instant, outcome Outcome) {
	j, ok := c.jobs[outcome.Run]
	if !ok || j.phase == jobQueued {
		return
	}
	answer := outcome.Answer
	answer.RequestID = j.call.RequestID
	if j.phase == jobRunning {
		if c.limiter.Finish(now, outcome.Health, now.Sub(j.started)) {
			c.logLimit("completion")
		}
		answer.Upstream = j.upstream.Name
		if answer.Verdict == verdict.Ran {
			c.observeRun(j.call.Operation, now.Sub(j.started))
			c.keyMeter.observeRun(now.Sub(j.started))
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

// again gives a call that is proved not to have run a second chance: at
// another door if this one's upstream refused it, in the queue if no other
// door took it. It reports whether it did.
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
		c.enqueue(now, j)
		return true
	}
	return false
}

// end answers everybody who waits for a job and settles its record.
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
	c.settleRecord(j, answer)
	if j.call.Sharded {
		c.shards.endCall(j.call.ShardID())
		c.releaseShard(j.call.ShardID())
	}
}

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

// Cancel drops one caller's interest in a call. A queued call is dropped; an
// idempotent one that runs is cancelled at the upstream. Non-idempotent runs
// go on, so that a resend finds their answer.
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
	case j.phase == jobRunning && j.record == nil && j.call.Idempotent:
		c.abort(j)
	}
}

func (c *Core) abort(j *job) {
	c.output.Aborts = append(c.output.Aborts, Abort{Run: j.run, Upstream: j.upstream, RequestID: j.call.RequestID})
}

// CancelLink drops the interest of every call that came on a link.
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

// reply addresses an answer to one caller of a call.
func (c *Core) reply(ticket Ticket, answer call.Answer) {
	answer.Number = ticket.Number
	answer.Load = c.Load()
	c.output.Replies = append(c.output.Replies, Reply{Ticket: ticket, Answer: answer})
}
