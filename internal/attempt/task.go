package attempt

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// task is a request under way.
type task struct {
	request    Request
	idempotent bool
	sharded    bool
	shard      fleet.ShardID
	deadline   clock.Instant
	// wake is when a task without a call is tried again.
	wake  clock.Instant
	delay time.Duration
	timer clock.Instant
	calls []uint64
	tried []fleet.RouterID
	tries int
	// mayHaveRun is set once a call of the request ended without proof.
	mayHaveRun bool
	reason     verdict.Reason
	index      int
}
