package gateway

import "endivespring/internal/fleet"

// Cancel asks the caller of the core to tell a router's executor that the answer
// to a call is no longer needed.
type Cancel struct {
	Router fleet.RouterID
	Number uint64
}
