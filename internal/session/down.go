package session

import (
	"time"

	"endivespring/internal/fleet"
)

// Down is what the leader sends to a router.
type Down struct {
	Session fleet.Session
	// Sequence is the renewal that a lease answers.
	Sequence uint64
	Lease    bool
	// Ownership and View are the lengths of the leases.
	Ownership time.Duration
	View      time.Duration
	// Version is the view version that the router must have applied for the
	// view lease to hold.
	Version fleet.Version
	Change  *fleet.Change
	// Redirect is set by a process that does not lead; Leader is the peer
	// address of the one that does, if known.
	Redirect bool
	Leader   string
	// Members are the peer addresses of the control processes, if they may change
	// and the router may not know them.
	Members []string
	// Rejected means that the session is not current: open a new one.
	Rejected bool
	// Closed means that the session was ended, because the router asked for it or
	// because its lease had run out.
	Closed bool
}
