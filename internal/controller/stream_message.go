package controller

import "endivespring/internal/session"

// Send is a message to a router on a stream.
type Send struct {
	Stream StreamID
	Down   session.Down
}
