package controller_test

import (
	"time"

	"endivespring/internal/clock"
)

// driftingClock is the local clock of a process, with an offset from the time of the
// simulation and a rate of its own.
type driftingClock struct {
	offset time.Duration
	rate   float64
}

// at returns the local time at a time of the simulation.
func (d driftingClock) at(real time.Duration) clock.Instant {
	return clock.Instant(d.offset) + clock.Instant(float64(real)*d.rate)
}

// real returns the time of the simulation at a local time.
func (d driftingClock) real(local clock.Instant) time.Duration {
	return time.Duration(float64(local-clock.Instant(d.offset)) / d.rate)
}
