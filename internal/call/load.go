package call

import "time"

// Load is what a door says of its upstream with each answer.
type Load struct {
	InFlight int
	Queued   int
	// Limit is the number of requests that the door runs at once.
	Limit int
	// Latency is a moving average of the upstream's run time.
	Latency time.Duration
}
