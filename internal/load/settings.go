// Package load is an open-loop caller: it sends requests at a fixed rate,
// whatever the answers, and measures from when each was due.
package load

import "time"

// Settings holds what a run sends.
type Settings struct {
	// Addresses are the callers' addresses of routers, used in turn.
	Addresses []string
	Service   string
	Operation string
	// Keys is the number of keys drawn from; zero sends no key.
	Keys int
	// Rate is the number of requests a second.
	Rate float64
	// Duration is the length of the run.
	Duration time.Duration
	// Timeout is the longest time for one request.
	Timeout time.Duration
	// Workers is the largest number of requests under way.
	Workers int
	Seed    uint64
	// Body is sent with each request.
	Body []byte
}
