package fsm

import "endivespring/internal/fleet"

// ReleaseRanges frees ranges that one start of an upstream gave back or can no
// longer hold.
type ReleaseRanges struct {
	Service  string
	Router   fleet.RouterID
	Boot     string
	Releases []RangeRelease
}
