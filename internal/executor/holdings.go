package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// holdings are the shards that a door owns, and the calls under way for each
// shard under whatever epoch.
type holdings struct {
	session fleet.Session
	shards  map[fleet.ShardID]*holding
	busy    map[fleet.ShardID]int
}

func newHoldings() *holdings {
	return &holdings{shards: map[fleet.ShardID]*holding{}, busy: map[fleet.ShardID]int{}}
}

// rebuild makes the holdings follow a whole view.
func (h *holdings) rebuild(now clock.Instant, view *fleet.View) {
	for id := range h.shards {
		h.adopt(now, view.Shard(id))
	}
	for shard := range view.Shards.All() {
		h.adopt(now, shard)
	}
}

// adopt makes the holdings follow the state of one shard.
func (h *holdings) adopt(now clock.Instant, shard fleet.Shard) {
	known := h.shards[shard.ID]
	switch {
	case h.session == 0 || !shard.OwnedBy(h.session):
		delete(h.shards, shard.ID)
	case known == nil || known.shard.Epoch != shard.Epoch:
		h.shards[shard.ID] = &holding{shard: shard, since: now}
	default:
		known.shard = shard
	}
}

// granted returns a shard that the door may take work for, or nil.
func (h *holdings) granted(id fleet.ShardID) *holding {
	if known := h.shards[id]; known != nil && known.shard.Phase == fleet.ShardGranted {
		return known
	}
	return nil
}

// begin counts a call of a shard as under way.
func (h *holdings) begin(id fleet.ShardID) { h.busy[id]++ }

// end counts a call of a shard as ended.
func (h *holdings) end(id fleet.ShardID) {
	h.busy[id]--
	if h.busy[id] <= 0 {
		delete(h.busy, id)
	}
}

// release returns the release of a shard that was asked back, once nothing of
// it is under way.
func (h *holdings) release(id fleet.ShardID) (fsm.Release, bool) {
	known := h.shards[id]
	if known == nil || known.released || known.shard.Phase != fleet.ShardRevoking || h.busy[id] > 0 {
		return fsm.Release{}, false
	}
	known.released = true
	return fsm.Release{Shard: id, Epoch: known.shard.Epoch}, true
}

// held returns the number of shards that were not given back.
func (h *holdings) held() int {
	held := 0
	for _, known := range h.shards {
		if !known.released {
			held++
		}
	}
	return held
}
