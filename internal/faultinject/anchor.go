package faultinject

import "endivespring/internal/clock"

// anchor is an instant as shown by the base clock and by the skewed clock. From there
// on the skewed clock runs at rate times the speed of the base clock.
type anchor struct {
	base, skewed clock.Instant
	rate         float64
}

// at returns what the skewed clock shows when the base clock shows the given instant.
func (a *anchor) at(base clock.Instant) clock.Instant {
	return a.skewed + clock.Instant(float64(base-a.base)*a.rate)
}
