package executor

import "endivespring/internal/fleet"

// HeldRange is a range of keys that an upstream has under an epoch.
type HeldRange struct {
	First, Last uint32
	Epoch       fleet.Epoch
}
