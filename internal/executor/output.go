package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

// Output is what a step asks its caller to do.
type Output struct {
	Replies []Reply
	Runs    []Run
	// Delegations are runs for other doors.
	Delegations []Delegation
	Aborts      []Abort
	// Releases are shards asked back whose work is finished.
	Releases []fsm.Release
	// RangeReports are ranges of keys that the upstream no longer holds.
	RangeReports []session.RangeReport
	// KeyLoads is the load of the keys that the upstream holds.
	KeyLoads []session.KeyLoad
	// RunTime is the mean run time since the last report of loads.
	RunTime   time.Duration
	Decisions []call.Decision
}
