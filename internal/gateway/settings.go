package gateway

import "endivespring/internal/routing"

// Settings says whose requests a core holds.
type Settings struct {
	Routing routing.Settings
	// Hedging is off for baselines of measurements.
	NoHedging bool
}
