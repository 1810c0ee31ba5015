package door

import (
	"endivespring/internal/call"
	"endivespring/internal/control"
)

// Output is what a step asks its caller to do.
type Output struct {
	Replies []Reply
	Runs    []Run
	Aborts  []Abort
	// Releases are shards asked back whose work is finished.
	Releases  []control.Release
	Decisions []call.Decision
}
