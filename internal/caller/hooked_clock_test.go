package caller

import (
	"time"

	"endivespring/internal/clock"
)

// hookedClock is a clock at which a test sets the time, and which calls a hook when it is read.
type hookedClock struct {
	clock.Clock
	now  time.Duration
	hook func()
}

func (c *hookedClock) Now() clock.Instant {
	if hook := c.hook; hook != nil {
		c.hook = nil // the hook may read the clock
		hook()
	}
	return clock.Instant(c.now)
}
