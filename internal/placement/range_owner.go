package placement

import "endivespring/internal/fleet"

// rangeOwner is one start of an upstream that may hold keys.
type rangeOwner struct {
	router fleet.RouterID
	boot   string
	// weight is its share of the work, in slots.
	weight float64
	// has and target are loads.
	has, target float64
}
