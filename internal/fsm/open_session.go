package fsm

import "endivespring/internal/fleet"

// OpenSession registers a router under a new session. It is idempotent: a resend with
// the same nonce returns the session that the first one opened.
type OpenSession struct {
	Router fleet.Router
	Nonce  string
}
