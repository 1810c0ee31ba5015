package executor

import (
	"time"

	"endivespring/internal/fleet"
)

// Heartbeat is what an upstream that holds ranges of keys says of itself now
// and then, besides what it announces.
type Heartbeat struct {
	Upstream fleet.Upstream
	// ColdFor is how long the upstream stays cold.
	ColdFor time.Duration
	// Holds are the ranges that it has or still works on.
	Holds []HeldRange
	// Released are ranges that it gave up.
	Released []ReleasedRange
}
