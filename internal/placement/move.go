package placement

import "endivespring/internal/fleet"

// Move is a revocation of keys of an overloaded owner with the figures that it was decided
// from. Loads and capacities are in requests a second, gain and cost in requests.
type Move struct {
	First, Last uint32
	From, To    fleet.RouterID
	// Load is that of the moved keys, and Demand that of the owner without repetitions.
	Load, Demand float64
	// Capacity is that of the owner, and Room what the next one can take.
	Capacity, Room float64
	// Gain is the number of requests served in addition in the next seconds, and Cost
	// the number of those that arrive while nobody serves the keys.
	Gain, Cost float64
	// BusyKey is set if the next owner cannot serve all of the load.
	BusyKey *BusyKey
}
