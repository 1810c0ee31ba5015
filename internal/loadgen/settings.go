// Package loadgen is an open-loop caller: it sends requests at a fixed rate,
// whatever the answers, and measures from when each was due.
package loadgen

import "time"

// Settings holds what a run sends.
type Settings struct {
	// Addresses are the callers' addresses of routers, used in turn.
	Addresses []string
	// Direct sends to stand-ins at Addresses, without routers.
	Direct bool
	// Mix is the operations drawn from.
	Mix []Operation
	// Keys is the number of keys drawn from; zero sends no key.
	Keys int
	// Zipf is the exponent, above 1, by which keys are drawn; zero draws
	// uniformly.
	Zipf float64
	// Rate is the number of requests a second.
	Rate float64
	// Duration is the length of the run.
	Duration time.Duration
	// Timeout is the longest time for one request.
	Timeout time.Duration
	// Workers is the largest number of requests under way.
	Workers int
	// ResendEvery sends every n-th request a second time, with the same id and
	// marked as such, to the next address; zero sends none twice.
	ResendEvery int
	Seed        uint64
	// Body is sent with each request.
	Body []byte
}
