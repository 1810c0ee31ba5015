package router

import "endivespring/internal/call"

// outgoingCall is a call, or the cancellation of one, queued for a link.
type outgoingCall struct {
	call   call.Call
	cancel bool
}
