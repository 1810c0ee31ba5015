package fsm

import "endivespring/internal/fleet"

// OpenSession registers a router under a new session. The nonce makes a resend
// return the session that the first one opened.
type OpenSession struct {
	Router fleet.Router
	Nonce  string
}
