package placement

import "endivespring/internal/fleet"

// owner is a router that may own shards, with those it has in the plan.
type owner struct {
	router  fleet.RouterID
	session fleet.Session
	shards  []fleet.ShardID
}
