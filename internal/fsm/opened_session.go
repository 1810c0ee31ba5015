package fsm

import "endivespring/internal/fleet"

// OpenedSession is an open session and the nonce of the command that opened it.
type OpenedSession struct {
	Nonce   string
	Session fleet.Session
	Router  fleet.RouterID
}
