package soak

import "time"

// step begins or ends a fault.
type step struct {
	at    time.Duration
	fault int
	begin bool
}
