package placement

import "endivespring/internal/fleet"

// owner is a router that may own shards, with those it has.
type owner struct {
	router  fleet.RouterID
	session fleet.Session
	// weight is its share of the work, in slots.
	weight int
	shards []fleet.ShardID
	// quota is the number of shards that it should have.
	quota int
}

// missing returns how many shards the owner lacks, negative if it has too many.
func (o *owner) missing() int { return o.quota - len(o.shards) }
