package fsm

import "time"

// UpstreamSpeed is what is known of the speed of one start of an upstream.
type UpstreamSpeed struct {
	Boot string
	// RunTime is the mean run time of its requests, or zero.
	RunTime time.Duration
	// MilliLimit is a thousand times the number of requests that it runs at once, or zero.
	MilliLimit uint32
}
