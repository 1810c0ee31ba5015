package fsm

import "endivespring/internal/fleet"

// Release gives one shard back at the epoch under which it was held.
type Release struct {
	Shard fleet.ShardID
	Epoch fleet.Epoch
}
