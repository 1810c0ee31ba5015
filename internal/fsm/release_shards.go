package fsm

import "endivespring/internal/fleet"

// ReleaseShards gives shards back after their owner finished its work on them.
type ReleaseShards struct {
	Session  fleet.Session
	Releases []Release
}
