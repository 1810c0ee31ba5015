package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// ownedShard is a shard that this executor owns.
type ownedShard struct {
	shard fleet.Shard
	// since is when the executor learned of the grant.
	since clock.Instant
	// released is set once the release was reported.
	released bool
}
