package placement

import "endivespring/internal/fleet"

// owner is an eligible router with the shards that it owns.
type owner struct {
	router  fleet.RouterID
	session fleet.Session
	// weight is the number of slots of the router's upstream; quotas are
	// proportional to it.
	weight int
	shards []fleet.ShardID
	// quota is the number of shards that the plan aims at.
	quota int
}

// deficit returns how many shards the owner is below its quota; it is negative
// if the owner is above.
func (o *owner) deficit() int { return o.quota - len(o.shards) }
