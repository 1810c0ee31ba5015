package faultinject

import "endivespring/internal/clock"

// anchor is a moment by the right clock and by the wrong one, from which the
// wrong one runs at a rate.
type anchor struct {
	right, wrong clock.Instant
	rate         float64
}

func (a *anchor) at(right clock.Instant) clock.Instant {
	return a.wrong + clock.Instant(float64(right-a.right)*a.rate)
}
