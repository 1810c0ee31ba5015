package gateway

import "endivespring/internal/fleet"

// Cancel asks the caller of the core to tell a router's executor that the answer
// to a call is no longer needed or, as a withdrawal, that the call must not start any more.
type Cancel struct {
	Router fleet.RouterID
	Number uint64
}
