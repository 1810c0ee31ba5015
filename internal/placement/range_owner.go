package placement

import "endivespring/internal/fleet"

// rangeOwner is an upstream, identified by its router and its boot ID, that may
// hold ranges of keys.
type rangeOwner struct {
	router     fleet.RouterID
	boot       string
	dataCentre fleet.DataCentre
	// weight is the number of the upstream's slots times its relative speed.
	weight float64
	// load is that of the owner's granted ranges, target its share of the total
	// load by weight. Both are in requests a second.
	load, target float64
	// ranges is the number of ranges that the owner holds, and received the number of
	// those that this plan grants or intends for it.
	ranges, received int
}

// lack returns how far the owner's load is below its target.
func (o *rangeOwner) lack() float64 { return o.target - o.load }
