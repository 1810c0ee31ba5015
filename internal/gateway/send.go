package gateway

import (
	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// Send asks the caller of the core to send a call to a router's executor.
type Send struct {
	Router fleet.Router
	Call   call.Call
}
