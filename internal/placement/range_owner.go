package placement

import "endivespring/internal/fleet"

// rangeOwner is an upstream, identified by its router and its boot ID, that may
// hold ranges of keys.
type rangeOwner struct {
	router fleet.RouterID
	boot   string
	// weight is the number of the upstream's slots times its relative speed.
	weight float64
	// load is that of the owner's granted ranges, target its share of the total
	// load by weight. Both are in requests a second.
	load, target float64
}
