package session

import "endivespring/internal/fsm"

// RangeReport lists ranges of keys that one start of the upstream has released, or
// cannot hold any more because that start has ended.
type RangeReport struct {
	Service string
	// Boot is the boot ID of that start.
	Boot     string
	Releases []fsm.RangeRelease
}
