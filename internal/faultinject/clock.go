package faultinject

import (
	"sync/atomic"

	"endivespring/internal/clock"
)

// Clock runs faster or slower than its base clock, at the rate set by a source. A
// change of the rate causes no jump.
type Clock struct {
	base   clock.Clock
	source *Source
	anchor atomic.Pointer[anchor]
}

// NewClock returns a clock that starts at the current instant of the base clock.
func NewClock(base clock.Clock, source *Source) *Clock {
	c := &Clock{base: base, source: source}
	now := base.Now()
	c.anchor.Store(&anchor{base: now, skewed: now, rate: 1})
	return c
}

// Now returns the current instant of the skewed clock. It is safe for concurrent use.
func (c *Clock) Now() clock.Instant {
	for {
		current, rate := c.anchor.Load(), c.source.Current().ClockRate
		baseNow := c.base.Now()
		if current.rate == rate {
			return current.at(baseNow)
		}
		c.anchor.CompareAndSwap(current, &anchor{base: baseNow, skewed: current.at(baseNow), rate: rate})
	}
}
