package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

// Output is what the caller of the core has to carry out after its steps.
type Output struct {
	Replies []Reply
	Runs    []Run
	// Delegations are calls for other executors.
	Delegations []Delegation
	Aborts      []Abort
	// Releases are revoked shards with no call left in flight.
	Releases []fsm.ShardRelease
	// RangeReports are key ranges that the upstream no longer holds.
	RangeReports []session.RangeReport
	// RangeRequests are requests to the upstream about its key ranges.
	RangeRequests []RangeRequest
	// KeyLoads is the load of the upstream's keys.
	KeyLoads []session.KeyLoad
	// RunTime is the mean run time since the last report of loads.
	RunTime time.Duration
	// Limit is how many requests the upstream runs at once at most. It comes with KeyLoads.
	Limit  int
	Events []call.Event
}
