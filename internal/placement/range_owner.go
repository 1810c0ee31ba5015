package placement

import "endivespring/internal/fleet"

// rangeOwner is an upstream, identified by its router and its boot ID, that may
// hold ranges of keys.
type rangeOwner struct {
	router fleet.RouterID
	boot   string
	// weight is the number of the upstream's slots times its relative speed.
	weight float64
	// load is the load of the granted ranges and target the share of the total
	// load that is proportional to weight, both in requests a second.
	load, target float64
}
