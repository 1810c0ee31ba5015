package door

import (
	"endivespring/internal/call"
	"endivespring/internal/control"
)

// Output is what a step asks its caller to do.
type Output struct {
	Replies []Reply
	Runs    []Run
	// Delegations are runs for other doors.
	Delegations []Delegation
	Aborts      []Abort
	// Releases are shards asked back whose work is finished.
	Releases  []control.Release
	Decisions []call.Decision
}
