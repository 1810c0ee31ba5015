package executor

import (
	"time"

	"endivespring/internal/clock"
)

// runningWork sums up the runs in flight, so that what they still need can be estimated
// without looking at each.
type runningWork struct {
	runs int
	// expected is the sum of the expected run times, started of the times since epoch at
	// which the runs started.
	expected time.Duration
	started  time.Duration
	epoch    clock.Instant
}

// begin counts a run.
func (r *runningWork) begin(now clock.Instant, expected time.Duration) {
	if r.runs == 0 {
		r.epoch, r.started = now, 0
	}
	r.runs++
	r.expected += expected
	r.started += now.Sub(r.epoch)
}

// end removes a run that began at started.
func (r *runningWork) end(started clock.Instant, expected time.Duration) {
	r.runs--
	r.expected -= expected
	r.started -= started.Sub(r.epoch)
}

// mean returns the mean expected run time, or zero without runs.
func (r *runningWork) mean() time.Duration {
	if r.runs == 0 {
		return 0
	}
	return r.expected / time.Duration(r.runs)
}

// excess returns by how much the remaining time of the runs is above half of their
// expected time. Half is what remains if the runs started evenly over time. More remains
// if many have started together; then it takes longer until the first ends.
func (r *runningWork) excess(now clock.Instant) time.Duration {
	remaining := r.expected - (time.Duration(r.runs)*now.Sub(r.epoch) - r.started)
	return max(0, remaining-r.expected/2)
}
