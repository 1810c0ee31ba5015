package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// lentRange is a range of keys that the upstream may hold until an instant.
type lentRange struct {
	first, last uint32
	epoch       fleet.Epoch
	until       clock.Instant
	// askedBack is set once the upstream was told to give the range back.
	askedBack bool
}
