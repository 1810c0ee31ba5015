package controller

import "endivespring/internal/session"

// StreamMessage is a message to a router on a stream.
type StreamMessage struct {
	Stream  StreamID
	Message session.ControlMessage
}
