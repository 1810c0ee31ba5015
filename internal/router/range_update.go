package router

import (
	"time"

	"endivespring/internal/session"
)

// rangeUpdate is a report of the executor to the leader: ranges of keys that the
// upstream no longer holds, and the load of those that it holds.
type rangeUpdate struct {
	reports []session.RangeReport
	loads   []session.KeyLoad
	runTime time.Duration
	// limit is how many requests the upstream runs at once at most.
	limit int
}
