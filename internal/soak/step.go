package soak

import "time"

// step is the beginning or the end of a fault, at a time from the start of the
// workload.
type step struct {
	at    time.Duration
	fault int
	begin bool
}
