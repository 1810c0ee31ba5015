package balancer

import "endivespring/internal/fleet"

// Settings configures a table.
type Settings struct {
	// Seed seeds the random choices.
	Seed uint64
	// Self and DataCentre are those of the gateway's router.
	Self       fleet.RouterID
	DataCentre fleet.DataCentre
	Policy     Policy
	// Reports makes estimates follow the load that executors report.
	Reports bool
}
