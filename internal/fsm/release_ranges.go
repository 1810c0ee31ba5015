package fsm

import "endivespring/internal/fleet"

// ReleaseRanges frees ranges that an upstream, identified by its router and boot ID,
// released or can no longer hold.
type ReleaseRanges struct {
	Service  string
	Router   fleet.RouterID
	Boot     string
	Releases []RangeRelease
}
