package executor

import (
	"time"

	"endivespring/internal/clock"
)

const (
	// suspicionTime is how long an upstream that sends no heartbeats is taken for cold at most.
	suspicionTime = 3 * time.Second
	// provingHeartbeats is the number of heartbeats until one is known to be newer than the
	// return to use: the first may have been sent before, the next follows its answer.
	provingHeartbeats = 2
)

// coldSuspicion takes an upstream that comes into use again for cold, until a heartbeat that is
// newer than that says otherwise. Only upstreams that state their start times send heartbeats.
type coldSuspicion struct {
	// missing is the number of heartbeats until the suspicion ends.
	missing int
	// last is the latest heartbeat that was observed.
	last *Heartbeat
}

// suspectCold paces the upstream as cold: it was out of use, and may have become cold meanwhile.
func (c *Core) suspectCold(now clock.Instant) {
	if c.upstream.StartMillis != 0 {
		c.suspicion.missing = provingHeartbeats
		c.limiter.SetColdTime(now, suspicionTime)
	}
}

// observeCold takes how long the upstream stays cold, as a heartbeat says.
func (c *Core) observeCold(now clock.Instant, h *Heartbeat) {
	s := &c.suspicion
	if s.last == h {
		return
	}
	s.last = h
	s.missing = max(0, s.missing-1)
	if s.missing > 0 {
		c.limiter.SetColdTime(now, max(h.ColdFor, suspicionTime))
		return
	}
	c.limiter.SetColdTime(now, h.ColdFor)
}
