package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

// StopBy sets when the runs of a stopping router are broken off. A call that can last longer is
// refused if it is not expected to end before, and if another executor may run it and it must not
// run twice. Queued calls are refused once they are not expected to end before.
func (c *Core) StopBy(now, end clock.Instant) {
	c.endsAt = end
	for _, j := range c.queue.collect(nil, func(*job) bool { return true }) {
		j.startBy = min(j.startBy, c.lastStart(&j.call))
	}
	c.nextStartBy = c.queue.earliestStartBy()
	c.startQueued(now)
}

// lastStart returns the time from which on a call must not start because the router is stopping,
// or clock.Never.
func (c *Core) lastStart(request *call.Call) clock.Instant {
	if c.endsAt == 0 || request.Deadline <= c.endsAt {
		return clock.Never
	}
	return c.endsAt.Add(-call.StopReserve(c.expectedRunTime(request.Operation)))
}

// outlasts reports whether a call that arrives may last longer than the router.
func (c *Core) outlasts(now clock.Instant, request *call.Call) bool {
	last := c.lastStart(request)
	if last == clock.Never {
		return false
	}
	return now >= last || c.peerAvailable && !request.Idempotent && !request.Ranged && !request.Sharded
}

// Stop refuses new calls because the router is stopping. Queued calls still
// run.
func (c *Core) Stop() { c.stopping = true }

// RefuseQueued refuses the queued calls, and all later ones, because the router is stopping:
// a run that starts now would be broken off.
func (c *Core) RefuseQueued() {
	c.stopping, c.startsNone = true, true
	for c.queue.length > 0 {
		c.refuseQueued(c.nextJob(), verdict.ReasonStopping, CauseNone)
	}
}

// AbortRuns cancels the runs at the upstream because the router is stopping. Their callers are
// answered with the outcomes.
func (c *Core) AbortRuns() {
	for _, j := range c.timers { // also has the delegated ones
		if j.phase == jobRunning {
			c.abort(j)
		}
	}
}

// Open returns the numbers of calls that are queued, running and delegated.
func (c *Core) Open() (queued, running, delegated int) {
	return c.queue.length, len(c.jobs) - c.queue.length - c.delegated, c.delegated
}

// Withdraw refuses a call as not-run if it is queued and nobody else waits for it, since its
// gateway is stopping. Any other call goes on.
func (c *Core) Withdraw(now clock.Instant, ticket Ticket) {
	j, ok := c.tickets[ticket]
	if !ok || j.phase != jobQueued || len(j.tickets) > 1 {
		return
	}
	c.refuseQueued(j, verdict.ReasonCancelled, CauseNone)
	c.startQueued(now)
}
