package fsm

import "endivespring/internal/fleet"

// RangeRelease says that an upstream gave back keys that it had under an epoch
// not above Epoch. Handover is what it left for the next holder.
type RangeRelease struct {
	First, Last uint32
	Epoch       fleet.Epoch
	Handover    string
}
