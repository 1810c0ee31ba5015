package control

import "endivespring/internal/fleet"

// CloseSessions ends sessions whose lease has run out or that were given up,
// and frees their shards.
type CloseSessions struct {
	Sessions []fleet.Session
}
