package balancer

import "endivespring/internal/fleet"

// Estimate is the estimated time to finish of an executor that Choose compared.
type Estimate struct {
	Router fleet.RouterID `json:"router"`
	// Milliseconds is the estimated time to finish, including the penalty for another
	// data centre.
	Milliseconds float64 `json:"ms"`
}
