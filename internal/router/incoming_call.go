package router

import "endivespring/internal/call"

// incomingCall is a call whose body arrives in parts.
type incomingCall struct {
	call   call.Call
	length int
}
