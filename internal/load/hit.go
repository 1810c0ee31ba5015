package load

import "time"

// hit is the outcome of a shot.
type hit struct {
	latency    time.Duration
	verdict    string
	reason     string
	mismatched bool
}
