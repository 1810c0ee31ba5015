package attempt

import (
	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// Output is what a step asks its caller to do.
type Output struct {
	Sends    []Send
	Cancels  []Cancel
	Finishes []Finish
	// Suspects are routers whose link missed a deadline: it must be replaced.
	Suspects  []fleet.RouterID
	Decisions []call.Decision
}
