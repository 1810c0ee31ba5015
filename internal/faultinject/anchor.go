package faultinject

import "endivespring/internal/clock"

// anchor is a moment by the right clock and by the wrong one, from which the
// wrong one runs at a rate.
type anchor struct {
	base, skewed clock.Instant
	rate         float64
}

func (a *anchor) at(base clock.Instant) clock.Instant {
	return a.skewed + clock.Instant(float64(base-a.base)*a.rate)
}
