package lease

import "time"

// Timing holds the durations that leader and routers agree on.
type Timing struct {
	// Ownership is how long a renewal lets a router serve its shards, counted
	// by the router from when it sent the renewal.
	Ownership time.Duration
	// View is how long a renewal lets a router take new work.
	View time.Duration
	// Margin is what the leader waits beyond Ownership for clock drift.
	Margin time.Duration
}
