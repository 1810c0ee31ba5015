package fsm

import "endivespring/internal/fleet"

// Result is the outcome of a command.
type Result struct {
	Accepted bool
	Refusal  Refusal
	// Reason says why a command was refused.
	Reason string
	// Config is the number of accepted operator changes afterwards.
	Config fleet.Version
	// Version is the view version that holds the change.
	Version fleet.Version
	// Session is the session opened by OpenSession.
	Session fleet.Session
}
