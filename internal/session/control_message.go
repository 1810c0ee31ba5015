package session

import (
	"time"

	"endivespring/internal/fleet"
)

// ControlMessage is a message from a control process to a router. All but redirects
// come from the leader.
type ControlMessage struct {
	Session fleet.Session
	// Sequence is the number of the renewal that a lease answers.
	Sequence uint64
	// Lease is set if the message grants the leases of Ownership and View.
	Lease bool
	// Ownership and View are the durations of the leases. The router counts them
	// from when it sent the renewal.
	Ownership time.Duration
	View      time.Duration
	// Version is the view version that the router must have applied for the
	// view lease to be valid.
	Version fleet.Version
	// Change is a change of the view or a full view, if any.
	Change *fleet.Change
	// Redirect is set by a process that is not leader; Leader is the peer address
	// of the leader, if known.
	Redirect bool
	Leader   string
	// Members are the peer addresses of the control processes. They are set only
	// if the group may change, and only when it differs from the members last sent
	// on the stream.
	Members []string
	// Rejected means that the session is not current: the router must open a new
	// one.
	Rejected bool
	// Closed means that the session was closed, because the router asked for it or
	// because its lease had expired.
	Closed bool
}
