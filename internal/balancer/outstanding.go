package balancer

import "endivespring/internal/clock"

// Outstanding is a call in flight at an executor. The calls of an executor form a
// doubly linked list in the order in which they were sent.
type Outstanding struct {
	executor       *executor
	sent           clock.Instant
	previous, next *Outstanding
	// estimate is how long the call was expected to take, in nanoseconds, or zero if its
	// executor had not reported its load.
	estimate float64
}
