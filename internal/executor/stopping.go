package executor

import "endivespring/internal/verdict"

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
