package executor

import (
	"time"

	"endivespring/internal/clock"
)

// suspicionTime is how long an upstream that comes into use again is taken for cold at most.
const suspicionTime = 3 * time.Second

// suspectCold paces the upstream as cold until its next heartbeat: it was out of use, and may have
// become cold meanwhile. Only upstreams that state their start times send heartbeats.
func (c *Core) suspectCold(now clock.Instant) {
	if c.upstream.StartMillis != 0 {
		c.limiter.SetColdTime(now, suspicionTime)
	}
}

// observeCold takes how long the upstream stays cold, as a heartbeat says. A heartbeat is observed
// again if its answer was delayed.
func (c *Core) observeCold(now clock.Instant, h *Heartbeat) {
	if c.observed != h {
		c.observed = h
		c.limiter.SetColdTime(now, h.ColdFor)
	}
}
