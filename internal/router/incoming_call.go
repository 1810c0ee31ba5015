package router

import (
	"endivespring/internal/call"
	"endivespring/internal/memory"
)

// incomingCall is a call whose body arrives in parts.
type incomingCall struct {
	call   call.Call
	length int
	// memory is what the body has withdrawn from the budget of requests.
	memory *memory.Reservation
}
