package standin

import "time"

// result is how a job ended.
type result struct {
	status int
	// ran is the header that says whether the request ran; empty if it did.
	ran       string
	requestID string
	body      []byte
	fault     Fault
	delay     time.Duration
}
