package balancer

import "endivespring/internal/fleet"

// Estimate is a door that was considered for a call.
type Estimate struct {
	Router fleet.RouterID `json:"router"`
	// Milliseconds is the estimated time to finish, with what the way to
	// another data centre counts extra.
	Milliseconds float64 `json:"ms"`
}
