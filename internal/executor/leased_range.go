package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// lentRange is a range of keys that the upstream may hold until an instant.
type leasedRange struct {
	first, last uint32
	epoch       fleet.Epoch
	expiry      clock.Instant
	// askedBack is set once the upstream was told to give the range back.
	revoked bool
}
