package gateway

import "time"

// returnRequest is what the Retry-After of a refused request depends on.
type returnRequest struct {
	// wait is the least wait for a slot among the executors that may run the request, left
	// the time until its deadline.
	wait, left time.Duration
	// rate is the number of requests per second that this gateway has had served.
	rate float64
	// returning is set for a request that was refused before.
	returning bool
	// random is a number from 0 to 1, by which requests are spread.
	random float64
	// credit is a random number from 0 to 1, the room with which an empty schedule starts.
	// From zero, a low rate would delay the first caller to the end of its time.
	credit float64
}
