package executor

import (
	"time"

	"endivespring/internal/fleet"
)

// LeaseAnswer is the answer to a heartbeat: all ranges that the upstream may
// hold, and for how long. The upstream counts Hold from when it sent the
// heartbeat.
type LeaseAnswer struct {
	// Renews is false if the router has no lease to pass on: the upstream's
	// ranges then expire as they were leased before.
	Renews bool
	// Unexpected is set if the heartbeat was ignored because it does not come from the
	// upstream beside the router.
	Unexpected bool
	// Unacknowledged is set if the heartbeat says that the upstream drains, and that is not
	// recorded yet so that it outlives the process.
	Unacknowledged bool
	Ranges         []fleet.KeyRange
	Hold           time.Duration
}
