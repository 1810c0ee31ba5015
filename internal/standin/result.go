package standin

import "time"

// result is the outcome of a job.
type result struct {
	status int
	// ran is the value of the header that says whether the request ran; empty if it
	// did.
	ran       string
	requestID string
	body      []byte
	fault     Fault
	delay     time.Duration
}
