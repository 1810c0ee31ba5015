package executor

import (
	"time"

	"endivespring/internal/clock"
)

// slotWait estimates how long a call waits for a slot behind queued calls that need the
// given run time in total. The work ahead is divided among the slots. A slot becomes free
// each time one of the runs has ended: those above the limit first, then one for the call.
func (c *Core) slotWait(now clock.Instant, ahead time.Duration, slots float64) time.Duration {
	running, limit := c.limiter.Running(), max(1, c.limiter.Limit())
	work := ahead
	if running >= limit {
		work += time.Duration(running-limit+1)*c.running.mean() + c.running.excess(now)
	}
	return time.Duration(float64(work) / max(slots, minSlots))
}

// minSlots is the least number of slots that an estimate divides by.
const minSlots = 0.01

// wait estimates how long a call without special rank that arrives now waits for a slot.
// Late calls go after it.
func (c *Core) wait(now clock.Instant) time.Duration {
	limit := max(1, c.limiter.Limit())
	if c.queue.length == 0 && c.limiter.Running() < limit {
		return max(0, c.limiter.NextPacedStart(now).Sub(now))
	}
	return max(c.slotWait(now, c.queue.work-c.queue.lateWork, float64(limit)), c.limiter.PaceDelay(now, c.queue.length))
}
