package controller

import "endivespring/internal/session"

// Send is a message for a router's stream.
type Send struct {
	Stream StreamID
	Down   session.Down
}
