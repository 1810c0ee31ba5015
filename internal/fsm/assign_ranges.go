package fsm

import "endivespring/internal/fleet"

// AssignRanges replaces the ownership of a service's keys. It is void unless
// the key space still has the revision that it was planned from.
type AssignRanges struct {
	Revision uint64
	Next     fleet.KeySpace
}
