package gateway

import (
	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// Send asks the caller of the core to send a call to a router's executor. If it finds that
// the caller of the request has gone, it must call CallerGone instead.
type Send struct {
	// Token is that of the request.
	Token  uint64
	Router fleet.Router
	Call   call.Call
}
