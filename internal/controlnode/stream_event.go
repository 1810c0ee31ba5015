package controlnode

import (
	"endivespring/internal/controller"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

// streamEvent is a message received on a router's stream, or the end of the
// stream if closed is set.
type streamEvent struct {
	stream controller.StreamID
	up     session.RouterMessage
	down   *ring.Ring[*wirepb.SessionDown]
	closed bool
	// cancel ends the stream from this side.
	cancel func()
}
