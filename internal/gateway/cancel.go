package gateway

import "endivespring/internal/fleet"

// Cancel asks to tell a router's door that a call's answer is no longer wanted.
type Cancel struct {
	Router fleet.RouterID
	Number uint64
}
