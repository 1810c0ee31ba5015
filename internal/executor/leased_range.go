package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// leasedRange is a key range that the upstream may hold until expiry.
type leasedRange struct {
	first, last uint32
	epoch       fleet.Epoch
	expiry      clock.Instant
	// revoked is set once an answer to a heartbeat left the range out, so that
	// the upstream was told to release it.
	revoked bool
}
