package balancer

import "endivespring/internal/fleet"

// Settings says whose table it is.
type Settings struct {
	// Seed of the random choices.
	Seed uint64
	// Self and DataCentre are those of the entry.
	Self       fleet.RouterID
	DataCentre fleet.DataCentre
	Policy     Policy
}
