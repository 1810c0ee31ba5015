package balancer

import "endivespring/internal/fleet"

// Estimate is the estimate on which an executor was compared with others for a call.
type Estimate struct {
	Router fleet.RouterID `json:"router"`
	// Milliseconds is the estimated time to finish, including the penalty for another
	// data centre.
	Milliseconds float64 `json:"ms"`
}
