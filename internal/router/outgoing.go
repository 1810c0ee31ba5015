package router

import "endivespring/internal/call"

// outgoing is a call, or the cancellation of one, on its way to a door.
type outgoing struct {
	call   call.Call
	cancel bool
}
