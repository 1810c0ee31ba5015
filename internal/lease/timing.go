package lease

import "time"

// Timing holds the lease durations on which leader and routers agree.
type Timing struct {
	// Ownership is how long a router may serve its shards after it sent a
	// renewal.
	Ownership time.Duration
	// View is how long a router may accept new requests after it sent a renewal.
	View time.Duration
	// Margin is how much longer than Ownership and View the leader waits, to
	// allow for clock drift.
	Margin time.Duration
}
