package controlnode

import (
	"endivespring/internal/controller"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

// streamEvent is a message of a router's stream, or the stream's end.
type streamEvent struct {
	stream controller.StreamID
	up     session.Up
	down   *ring.Ring[*wirepb.SessionDown]
	closed bool
	// cancel ends the stream.
	cancel func()
}
