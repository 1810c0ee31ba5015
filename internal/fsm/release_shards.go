package fsm

import "endivespring/internal/fleet"

// ReleaseShards frees shards on which their owner has finished all work.
type ReleaseShards struct {
	Session  fleet.Session
	Releases []ShardRelease
}
