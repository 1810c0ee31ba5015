package admission

import (
	"time"

	"endivespring/internal/clock"
)

// acceptedWindow is the time from the start of a run for which its answer proves that the
// upstream takes work at the concurrency at which the run started. It covers several runs
// of every usual operation. Longer runs prove nothing: the upstream took them too long ago.
const acceptedWindow = 2 * time.Second

// acceptedConcurrency is the highest concurrency at which an upstream has lately taken a
// run: the maximum of the present and the last half of acceptedWindow. Runs count for the
// half in which they started.
type acceptedConcurrency struct {
	present, last int
	startedAt     clock.Instant
}

// record adds the concurrency right after the start of a run that was answered now.
func (a *acceptedConcurrency) record(now, started clock.Instant, concurrency int) {
	a.advance(now)
	switch {
	case started >= a.startedAt:
		a.present = max(a.present, concurrency)
	case started >= a.startedAt.Add(-acceptedWindow/2):
		a.last = max(a.last, concurrency)
	}
}

// highest returns the maximum, or zero if no answered run started within the window.
func (a *acceptedConcurrency) highest(now clock.Instant) int {
	a.advance(now)
	return max(a.present, a.last)
}

func (a *acceptedConcurrency) advance(now clock.Instant) {
	switch age := now.Sub(a.startedAt); {
	case age < acceptedWindow/2:
	case age < acceptedWindow:
		a.present, a.last, a.startedAt = 0, a.present, a.startedAt.Add(acceptedWindow/2)
	default:
		a.present, a.last, a.startedAt = 0, 0, now
	}
}
