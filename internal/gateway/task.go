package gateway

import (
	"slices"

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
	// ranged requests go to the upstream that holds their key.
	ranged   bool
	deadline clock.Instant
	// objective is when an answer stops being in time, or zero.
	objective clock.Instant
	// patience is when the request gives up to wait for a door.
	patience clock.Instant
	// route is nil for an operation that is called by its name.
	route *fleet.Route
	// reached counts the calls that an upstream may have got.
	reached int
	// refusals counts the doors that had no room.
	refusals int
	service  *serviceState
	// hedgeQuantile is zero for requests that are never hedged.
	hedgeQuantile float64
	hedges        int
	timer         clock.Instant
	calls         []uint64
	tried         []fleet.RouterID
	tries         int
	waits         int
	// mayHaveRun is set once a call of the request ended without proof.
	mayHaveRun bool
	reason     verdict.Reason
	// index is the place in the heap of timers, parkedAt that among the parked.
	index    int
	parkedAt int
}

func (t *task) drop(number uint64) {
	if i := slices.Index(t.calls, number); i >= 0 {
		t.calls = slices.Delete(t.calls, i, i+1)
	}
}

// priority returns the rank of the request; operations called by name have
// the highest.
func (t *task) priority() int {
	if t.route == nil {
		return 0
	}
	return t.route.Priority
}
