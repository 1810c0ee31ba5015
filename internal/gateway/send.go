package gateway

import (
	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// Send asks the caller of the core to hand a call to a router's door.
type Send struct {
	Router fleet.Router
	Call   call.Call
}
