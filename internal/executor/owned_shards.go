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
func (s *ownedShards) rebuild(now clock.Instant, view *fleet.View) {
	for id := range s.shards {
		s.apply(now, view.Shard(id))
	}
	for shard := range view.Shards.All() {
		s.apply(now, shard)
	}
}

// apply brings one shard in line with its state in the view.
func (s *ownedShards) apply(now clock.Instant, shard fleet.Shard) {
	owned := s.shards[shard.ID]
	switch {
	case s.session == 0 || !shard.OwnedBy(s.session):
		delete(s.shards, shard.ID)
	case owned == nil || owned.shard.Epoch != shard.Epoch:
		s.shards[shard.ID] = &ownedShard{shard: shard, since: now}
	default:
		owned.shard = shard
	}
}

// granted returns a shard for which the executor may accept calls, or nil.
func (s *ownedShards) granted(id fleet.ShardID) *ownedShard {
	if owned := s.shards[id]; owned != nil && owned.shard.Phase == fleet.ShardGranted {
		return owned
	}
	return nil
}

func (s *ownedShards) beginCall(id fleet.ShardID) { s.inFlight[id]++ }

func (s *ownedShards) endCall(id fleet.ShardID) {
	s.inFlight[id]--
	if s.inFlight[id] <= 0 {
		delete(s.inFlight, id)
	}
}

// release returns the release of a revoked shard once none of its calls is in
// flight. It reports each release once.
func (s *ownedShards) release(id fleet.ShardID) (fsm.ShardRelease, bool) {
	owned := s.shards[id]
	if owned == nil || owned.released || owned.shard.Phase != fleet.ShardRevoking || s.inFlight[id] > 0 {
		return fsm.ShardRelease{}, false
	}
	owned.released = true
	return fsm.ShardRelease{Shard: id, Epoch: owned.shard.Epoch}, true
}

// countHeld returns the number of shards that were not released.
func (s *ownedShards) countHeld() int {
	held := 0
	for _, owned := range s.shards {
		if !owned.released {
			held++
		}
	}
	return held
}
