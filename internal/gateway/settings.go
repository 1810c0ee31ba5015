package gateway

import "endivespring/internal/balancer"

// Settings says whose requests a core holds.
type Settings struct {
	Routing balancer.Settings
	// Hedging is off for baselines of measurements.
	NoHedging bool
}
