// Package session implements the router's side of its membership session with the
// control plane: the messages between a router and the leader, the state machine
// that renews the session and its leases, and the choice of the control process to
// connect to.
package session

import (
	"time"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// RouterMessage is a message from a router to the leader: a renewal of its session, together
// with what the router has to report.
type RouterMessage struct {
	// Nonce identifies this request for a session; it is empty once a session is
	// open.
	Nonce string
	// Session is zero until one is open.
	Session fleet.Session
	// Sequence is the number of the renewal, by which its answer refers to it.
	Sequence uint64
	// Applied is the view version that the router has applied.
	Applied fleet.Version
	// NeedFull asks for a full view, since changes after Applied were lost.
	NeedFull bool
	// Router is the router's registration. It has only the ID unless Registers
	// is set.
	Router fleet.Router
	// Registers is set until the view shows the registration.
	Registers bool
	// Releases lists the shards that the router has released, until the view
	// shows that.
	Releases []fsm.ShardRelease
	// RangeReports lists the ranges of keys that the upstream no longer holds,
	// until the view shows that.
	RangeReports []RangeReport
	// KeyLoads is the load of the keys that the upstream holds. It is not part of
	// every renewal.
	KeyLoads []KeyLoad
	// RunTime is the mean run time of requests at the upstream since the last
	// report of loads.
	RunTime time.Duration
	// Limit is how many requests the upstream runs at once at most, or zero if it
	// is not known. It comes with KeyLoads.
	Limit int
	// Differences is set if the router understands changes with differences of presets
	// and key spaces.
	Differences bool
	// Closing asks to close the session.
	Closing bool
}
