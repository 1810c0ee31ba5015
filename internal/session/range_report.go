package session

import "endivespring/internal/fsm"

// RangeReport lists the ranges of keys that one start of the upstream gave
// back or can no longer hold.
type RangeReport struct {
	Service  string
	Boot     string
	Releases []fsm.RangeRelease
}
