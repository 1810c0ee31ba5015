package call

import "time"

// Load is the load of an upstream, reported by its executor with every answer.
type Load struct {
	// InFlight is the number of requests running at the upstream, Queued the
	// number waiting at the executor.
	InFlight int
	Queued   int
	// Limit is the executor's current limit for InFlight.
	Limit int
	// Latency is a moving average of the upstream's run time.
	Latency time.Duration
	// Wait estimates how long a call that arrives now waits for a slot. It is zero
	// while a slot is free.
	Wait time.Duration
	// NestedWait is the wait of a nested call that arrives now. Nested calls go first, so that
	// it is mostly less than Wait.
	NestedWait time.Duration
	// Slowdown is the factor by which work on the upstream's VM takes longer than
	// usual at present, or zero if the upstream does not state it.
	Slowdown float64
}

// ExpectedWait returns Wait or, if a router of an earlier build does not report it, an
// estimate from the calls ahead.
func (l *Load) ExpectedWait() time.Duration {
	if l.Wait > 0 || l.InFlight < l.Limit {
		return l.Wait
	}
	return time.Duration(float64(l.Queued+1) * float64(l.Latency) / float64(max(1, l.Limit)))
}
