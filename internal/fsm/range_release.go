package fsm

import "endivespring/internal/fleet"

// RangeRelease states that an upstream released the keys First to Last, which it held
// under an epoch of at most Epoch. Handover is what it left for their next holder.
type RangeRelease struct {
	First, Last uint32
	Epoch       fleet.Epoch
	Handover    string
}
