package fsm

import "endivespring/internal/fleet"

// Result is the outcome of a command.
type Result struct {
	Accepted bool
	Refusal  Refusal
	// Reason is the text of a refusal, for operators.
	Reason string
	// Config is the number of operator changes accepted so far, this one included.
	Config fleet.Version
	// Version is the version of the view that contains the change.
	Version fleet.Version
	// Session is the session opened by OpenSession.
	Session fleet.Session
}
