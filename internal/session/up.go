// Package session holds the messages between a router and the leader of
// control, and the router's state machine for them.
package session

import (
	"time"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Up is a renewal from a router.
type Up struct {
	// Nonce names this start of the router; it is empty once a session is open.
	Nonce string
	// Session is zero until one is open.
	Session  fleet.Session
	Sequence uint64
	// Applied is the view version that the router has.
	Applied fleet.Version
	// NeedFull is set if the router cannot go on from Applied.
	NeedFull bool
	// Router has only its ID unless Registers is set.
	Router    fleet.Router
	Registers bool
	Releases  []fsm.Release
	// RangeReports lists ranges of keys that the upstream no longer holds.
	RangeReports []RangeReport
	// KeyLoads is the load of the keys that the upstream holds; it is sent now
	// and then.
	KeyLoads []KeyLoad
	// RunTime is the mean time that the upstream took for a request since the
	// last report of loads.
	RunTime time.Duration
	// Closing asks to end the session.
	Closing bool
}
