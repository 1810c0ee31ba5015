package faultinject

import (
	"sync/atomic"

	"endivespring/internal/clock"
)

// Clock runs at the rate that a source says. It never steps.
type Clock struct {
	base   clock.Clock
	source *Source
	anchor atomic.Pointer[anchor]
}

// NewClock returns a clock in place of another one.
func NewClock(base clock.Clock, source *Source) *Clock {
	c := &Clock{base: base, source: source}
	now := base.Now()
	c.anchor.Store(&anchor{right: now, wrong: now, rate: 1})
	return c
}

// Now returns the current instant.
func (c *Clock) Now() clock.Instant {
	for {
		present, rate := c.anchor.Load(), c.source.Current().ClockRate
		right := c.base.Now()
		if present.rate == rate {
			return present.at(right)
		}
		c.anchor.CompareAndSwap(present, &anchor{right: right, wrong: present.at(right), rate: rate})
	}
}
