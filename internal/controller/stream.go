package controller

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// stream is a router's connection to this process.
type stream struct {
	id       StreamID
	router   fleet.RouterID
	nonce    string
	session  fleet.Session
	sequence uint64
	// sent is the view version that was sent on the stream.
	sent   fleet.Version
	synced bool
	// needsFull is set if the router cannot go on from that version.
	needsFull bool
	// applied is the view version that the router reported last.
	applied        fleet.Version
	lastReceivedAt clock.Instant
	// members is what the router was told of the control processes.
	members []string
}
