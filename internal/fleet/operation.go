package fleet

import "time"

// Operation is a named kind of request of a service.
type Operation struct {
	Name string
	// Idempotent operations may run more than once.
	Idempotent bool
	// Deadline is the longest time that a request may take.
	Deadline time.Duration
}
