package fsm

import "endivespring/internal/fleet"

// ShardRelease releases one shard that was held under Epoch.
type ShardRelease struct {
	Shard fleet.ShardID
	Epoch fleet.Epoch
}
