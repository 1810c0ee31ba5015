package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// holding is a shard that this door owns.
type ownedShard struct {
	shard fleet.Shard
	// since is when the door learned of the grant.
	since clock.Instant
	// released is set once the shard was given back.
	released bool
}
