package loadgen

import "time"

// hit is the outcome of a shot.
type hit struct {
	operation int
	due       time.Time
	// behind is how long after it was due the request was sent.
	behind     time.Duration
	latency    time.Duration
	verdict    string
	reason     string
	upstream   string
	mismatched bool
	resend     bool
}
