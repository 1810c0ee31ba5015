// Package loadgen is an open-loop load generator: it sends requests at a fixed
// rate regardless of the answers and measures latencies from the time at which
// each request was due.
package loadgen

import "time"

// Settings configures a run.
type Settings struct {
	// Addresses are the routers' addresses for callers, used in turn.
	Addresses []string
	// Direct sends to stand-ins at Addresses, without routers.
	Direct bool
	// Mix is the operations to send, chosen at random by weight.
	Mix []Operation
	// Keys is the number of different keys; zero sends no key.
	Keys int
	// Zipf is the exponent, above 1, of the keys' Zipf distribution; zero selects
	// a uniform distribution.
	Zipf float64
	// Rate is the number of requests a second.
	Rate float64
	// Duration is the length of the run.
	Duration time.Duration
	// Timeout is the deadline of each request.
	Timeout time.Duration
	// Workers is the largest number of concurrent requests.
	Workers int
	// ResendEvery sends every n-th request a second time to the next address, with
	// the same ID and marked as a resend; zero sends none twice.
	ResendEvery int
	Seed        uint64
	// Body is sent with each request.
	Body []byte
}
