package placement

import (
	"math"

	"endivespring/internal/fleet"
)

// rangeOwner is an upstream, identified by its router and its boot ID, that may
// hold ranges of keys.
type rangeOwner struct {
	router     fleet.RouterID
	boot       string
	dataCentre fleet.DataCentre
	// weight is the number of the upstream's slots times its relative speed, or its
	// capacity.
	weight float64
	// capacity is the number of requests a second that the upstream takes, or zero if it
	// is not known or not used.
	capacity float64
	// original is the share of the owner's load that is not a repetition, at the start of
	// a round of moves.
	original float64
	// load is that of the owner's granted ranges, target its share of the total
	// load by weight. Both are in requests a second.
	load, target float64
	// ranges is the number of ranges that the owner holds, and received the number of
	// those that this plan grants or intends for it.
	ranges, received int
}

// lack returns how far the owner's load is below its target.
func (o *rangeOwner) lack() float64 { return o.target - o.load }

// originalShare returns the share of the owner's load that is not a repetition. Beyond the
// capacity calls are refused, and callers and gateways repeat refused calls; half of them
// are taken to come back once. The truth lies between none and two repetitions each.
func (o *rangeOwner) originalShare() float64 {
	if o.load <= o.capacity {
		return 1
	}
	return 1 / (1 + repeatedShare*(1-o.capacity/o.load))
}

// demand returns the owner's load without repetitions.
func (o *rangeOwner) demand() float64 { return o.load * o.original }

// excess returns the demand above the owner's capacity, or zero if it may be a random
// variation.
func (o *rangeOwner) excess() float64 {
	if excess := o.demand() - o.capacity; excess > overloadDeviations*math.Sqrt(o.capacity/rateWindow) {
		return excess
	}
	return 0
}

// full reports whether the owner holds as many ranges as it may.
func (o *rangeOwner) full() bool { return o.ranges >= fleet.MaxOwnerRanges }

// room returns the load that the owner can take in addition.
func (o *rangeOwner) room() float64 { return usableCapacity*o.capacity - o.load }
