package fsm

import "endivespring/internal/fleet"

// AssignRanges replaces the ownership of a service's keys by Next. It is rejected unless
// the key space still has the Revision from which it was planned. Next may leave out ranges
// that do not change.
type AssignRanges struct {
	Revision uint64
	Next     fleet.KeySpace
}
