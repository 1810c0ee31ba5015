package executor

import "endivespring/internal/fleet"

// HeldRange is a key range that an upstream holds under an epoch. First and
// Last are included.
type HeldRange struct {
	First, Last uint32
	Epoch       fleet.Epoch
}
