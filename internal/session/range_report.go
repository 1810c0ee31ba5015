package session

import "endivespring/internal/control"

// RangeReport lists the ranges of keys that one start of the upstream gave
// back or can no longer hold.
type RangeReport struct {
	Service  string
	Boot     string
	Releases []control.RangeRelease
}
