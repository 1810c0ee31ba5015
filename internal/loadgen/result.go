package loadgen

import "time"

// result is the outcome of one request.
type result struct {
	operation int
	due       time.Time
	// sendDelay is the time from when the request was due until it was sent.
	sendDelay time.Duration
	// latency is measured from due.
	latency    time.Duration
	verdict    string
	reason     string
	upstream   string
	mismatched bool
	resend     bool
}
