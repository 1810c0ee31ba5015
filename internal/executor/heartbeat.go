package executor

import (
	"time"

	"endivespring/internal/fleet"
)

// Heartbeat is the periodic message of an upstream that holds key ranges: its
// announcement and what it holds.
type Heartbeat struct {
	Upstream fleet.Upstream
	// Newer is set if the upstream started after the router's earlier process had ended,
	// which so can have sent nothing to it.
	Newer bool
	// ColdFor is the remaining time of the upstream's cold start.
	ColdFor time.Duration
	// Holds are the ranges that the upstream serves, or has stopped serving but
	// still has work in flight for.
	Holds []HeldRange
	// Released are ranges that it has released. One that overlaps a range in
	// Holds still has work in flight.
	Released []ReleasedRange
}
