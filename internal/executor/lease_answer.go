package executor

import (
	"time"

	"endivespring/internal/fleet"
)

// LeaseAnswer answers a heartbeat: everything that the upstream is to hold, and
// for how long from when the heartbeat was sent.
type LeaseAnswer struct {
	// Renews is false if nothing is said of what the upstream holds: what it has
	// runs out.
	Renews bool
	Ranges []fleet.KeyRange
	Hold   time.Duration
}
