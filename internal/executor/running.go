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
func (c *Core) fill(now clock.Instant) {
	c.sweep(now)
	for len(c.queue) > 0 {
		j := c.queue[0]
		if reason := c.stale(now, j); reason != verdict.ReasonNone {
			c.end(j, call.Refusal(&j.call, verdict.NotRun, reason))
			continue
		}
		if !c.startable(now) {
			return
		}
		c.queue.remove(j)
		c.start(now, j)
	}
}

// startable takes a place at the upstream. If only its pace is in the way,
// fill is due again when that allows the next call.
func (c *Core) startable(now clock.Instant) bool {
	c.paceAt = clock.Never
	if c.limiter.Running() >= c.limiter.Limit() {
		return false
	}
	if !c.limiter.InPace(now) {
		c.paceAt = c.limiter.NextStart(now)
		return false
	}
	return c.limiter.Start()
}

// stale returns why a queued call must not run any more, or no reason.
func (c *Core) stale(now clock.Instant, j *job) verdict.Reason {
	switch {
	case !j.wanted():
		return verdict.ReasonCancelled
	case now >= j.call.Deadline:
		return verdict.ReasonDeadline
	case now >= j.expires:
		return verdict.ReasonOverloaded
	case now >= c.viewUntil:
		return verdict.ReasonViewStale
	case j.call.Ranged && c.unfitForRanges(now, j.call.Service), !j.call.Ranged && c.unfit(j.call.Service):
		return verdict.ReasonNoUpstream
	case j.call.Sharded && !c.owns(j):
		return verdict.ReasonNotOwner
	case j.call.Sharded && now >= c.ownUntil:
		return verdict.ReasonLeaseExpired
	case j.call.Ranged:
		return c.rangeRefusal(now, &j.call)
	default:
		return verdict.ReasonNone
	}
}

// abandoned reports whether a sharded job must not start again.
func (c *Core) abandoned(now clock.Instant, j *job) bool {
	return !j.wanted() || now >= j.call.Deadline || now >= c.ownUntil || !c.owns(j)
}

func (c *Core) start(now clock.Instant, j *job) {
	j.phase, j.started, j.upstream = jobRunning, now, c.upstream
	run := Run{ID: j.run, Upstream: c.upstream, Call: j.call, Epoch: j.epoch, Deadline: j.call.Deadline, Fence: j.call.Deadline}
	if j.call.Sharded {
		run.Fence = min(run.Fence, c.ownUntil)
		if c.keyed() {
			run.Deadline = run.Fence
		}
	}
	if j.call.Ranged {
		run.Fence = min(run.Fence, c.keyring.until(c.view, j.call.KeyNumber))
	}
	j.rank = 0
	c.timers.add(j)
	c.output.Runs = append(c.output.Runs, run)
}

// delegate hands a call to another door; this one keeps its record.
func (c *Core) delegate(j *job) {
	j.phase, j.away = jobDelegated, true
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
			c.decideLimit("completion")
		}
		answer.Upstream = j.upstream.Name
		if answer.Verdict == verdict.Ran {
			c.observeRun(j.call.Operation, now.Sub(j.started))
			c.keys.ended(now.Sub(j.started))
		}
	}
	if answer.Verdict != verdict.Ran {
		c.decide(event.RunFailed, event.F("request", j.call.RequestID), event.F("upstream", j.upstream.Name), event.F("boot", j.upstream.Boot),
			event.F("verdict", answer.Verdict.String()), event.F("reason", string(answer.Reason)), event.F("took", now.Sub(j.started)))
	}
	answer.Epoch = j.epoch
	if !c.again(now, j, &answer) {
		c.end(j, answer)
	}
	c.fill(now)
}

// again gives a call that is proved not to have run a second chance: at
// another door if this one's upstream refused it, in the queue if no other
// door took it. It reports whether it did.
func (c *Core) again(now clock.Instant, j *job, answer *call.Answer) bool {
	if j.record == nil || answer.Verdict != verdict.NotRun || j.timedOut || c.abandoned(now, j) {
		return false
	}
	if j.phase == jobRunning && !j.away && c.mayDelegate(&j.call) {
		c.timers.remove(j)
		c.delegate(j)
		return true
	}
	if j.phase == jobDelegated && !c.unfit(j.call.Service) && c.inTime(now, &j.call) {
		c.timers.remove(j)
		c.delegated--
		j.phase = jobQueued
		c.join(now, j)
		return true
	}
	return false
}

// end answers everybody who waits for a job and settles its record.
func (c *Core) end(j *job, answer call.Answer) {
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
	c.settle(j, answer)
	if j.call.Sharded {
		c.holdings.end(j.call.ShardID())
		c.release(j.call.ShardID())
	}
}

func (c *Core) settle(j *job, answer call.Answer) {
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
	j.drop(ticket)
	switch {
	case j.wanted():
	case j.phase == jobQueued:
		c.end(j, call.Refusal(&j.call, verdict.NotRun, verdict.ReasonCancelled))
		c.fill(now)
	case j.phase == jobRunning && j.record == nil && j.call.Idempotent:
		c.abort(j)
	}
}

func (c *Core) abort(j *job) {
	c.output.Aborts = append(c.output.Aborts, Abort{Run: j.run, Upstream: j.upstream, RequestID: j.call.RequestID})
}

// CancelLink drops the interest of every call that came on a link.
func (c *Core) CancelLink(now clock.Instant, link uint64) {
	var lost []Ticket
	for ticket := range c.tickets {
		if ticket.Link == link {
			lost = append(lost, ticket)
		}
	}
	slices.SortFunc(lost, func(a, b Ticket) int { return cmp.Compare(a.Number, b.Number) })
	for _, ticket := range lost {
		c.Cancel(now, ticket)
	}
}

// reply addresses an answer to one caller of a call.
func (c *Core) reply(ticket Ticket, answer call.Answer) {
	answer.Number = ticket.Number
	answer.Load = c.Load()
	c.output.Replies = append(c.output.Replies, Reply{Ticket: ticket, Answer: answer})
}
