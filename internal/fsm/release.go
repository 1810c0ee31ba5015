package fsm

import "endivespring/internal/fleet"

// Release releases one shard that was held under Epoch.
type Release struct {
	Shard fleet.ShardID
	Epoch fleet.Epoch
}
