package balancer

import "endivespring/internal/clock"

// StartLimit is what makes a call too late to be queued by an executor.
type StartLimit struct {
	// By is the latest start of the call.
	By clock.Instant
	// Queue is the number of queued calls above which executors refuse it, or zero for any.
	Queue int
}
