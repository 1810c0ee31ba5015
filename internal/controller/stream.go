package controller

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// stream is one connection of a router to this process.
type stream struct {
	id     StreamID
	router fleet.RouterID
	// nonce is that of the router's request for a session, empty once one is open.
	nonce string
	// session is zero until one is open.
	session fleet.Session
	// sequence is the number of the latest renewal.
	sequence uint64
	// sentVersion is the last view version sent on the stream, at first the version
	// that the router had applied when it attached.
	sentVersion fleet.Version
	// synced is set once the stream takes part in broadcasts.
	synced bool
	// needsFull is set if the router asked for a full view.
	needsFull bool
	// differences is set if the router understands changes with differences of presets
	// and key spaces.
	differences bool
	// applied is the view version that the router last reported as applied.
	applied        fleet.Version
	lastReceivedAt clock.Instant
	// members are the voters whose addresses were last sent to the router.
	members []string
}
