package controlnode

import (
	"endivespring/internal/controller"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

// arrival is a message of a router's stream, or the stream's end.
type arrival struct {
	stream controller.StreamID
	up     session.Up
	down   *ring.Ring[*wirepb.SessionDown]
	ended  bool
	// cut ends the stream.
	cut func()
}
