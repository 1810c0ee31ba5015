package loadgen

import "time"

// result is the outcome of a shot.
type result struct {
	operation int
	due       time.Time
	// sendDelay is how long after it was due the request was sent.
	sendDelay  time.Duration
	latency    time.Duration
	verdict    string
	reason     string
	upstream   string
	mismatched bool
	resend     bool
}
