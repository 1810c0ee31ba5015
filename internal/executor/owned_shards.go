package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// ownedShards are the shards that an executor owns. inFlight counts the calls
// of each shard over all its epochs, so that a shard that was lost and granted
// anew is not released while a call of a former epoch runs.
type ownedShards struct {
	session  fleet.Session
	shards   map[fleet.ShardID]*ownedShard
	inFlight map[fleet.ShardID]int
}

func newOwnedShards() *ownedShards {
	return &ownedShards{shards: map[fleet.ShardID]*ownedShard{}, inFlight: map[fleet.ShardID]int{}}
}

// rebuild brings all shards in line with a view.
func (h *ownedShards) rebuild(now clock.Instant, view *fleet.View) {
	for id := range h.shards {
		h.apply(now, view.Shard(id))
	}
	for shard := range view.Shards.All() {
		h.apply(now, shard)
	}
}

// apply brings one shard in line with its state in the view.
func (h *ownedShards) apply(now clock.Instant, shard fleet.Shard) {
	owned := h.shards[shard.ID]
	switch {
	case h.session == 0 || !shard.OwnedBy(h.session):
		delete(h.shards, shard.ID)
	case owned == nil || owned.shard.Epoch != shard.Epoch:
		h.shards[shard.ID] = &ownedShard{shard: shard, since: now}
	default:
		owned.shard = shard
	}
}

// granted returns a shard for which the executor may accept calls, or nil.
func (h *ownedShards) granted(id fleet.ShardID) *ownedShard {
	if owned := h.shards[id]; owned != nil && owned.shard.Phase == fleet.ShardGranted {
		return owned
	}
	return nil
}

// beginCall counts a call of a shard as in flight.
func (h *ownedShards) beginCall(id fleet.ShardID) { h.inFlight[id]++ }

// endCall counts a call of a shard as ended.
func (h *ownedShards) endCall(id fleet.ShardID) {
	h.inFlight[id]--
	if h.inFlight[id] <= 0 {
		delete(h.inFlight, id)
	}
}

// release returns the release of a revoked shard once none of its calls is in
// flight. It reports each release once.
func (h *ownedShards) release(id fleet.ShardID) (fsm.Release, bool) {
	owned := h.shards[id]
	if owned == nil || owned.released || owned.shard.Phase != fleet.ShardRevoking || h.inFlight[id] > 0 {
		return fsm.Release{}, false
	}
	owned.released = true
	return fsm.Release{Shard: id, Epoch: owned.shard.Epoch}, true
}

// countHeld returns the number of shards that were not released.
func (h *ownedShards) countHeld() int {
	held := 0
	for _, owned := range h.shards {
		if !owned.released {
			held++
		}
	}
	return held
}
