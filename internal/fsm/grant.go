package fsm

import "endivespring/internal/fleet"

// Grant grants a free shard to a router's session.
type Grant struct {
	Shard   fleet.ShardID
	Router  fleet.RouterID
	Session fleet.Session
}
