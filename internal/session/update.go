package session

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Update is what the session passes on to gateway and executor.
type Update struct {
	// Change is the view change to apply, if any, and ReceivedAt when it arrived.
	Change     *fleet.Change
	ReceivedAt clock.Instant
	// Session is the open session, or zero.
	Session fleet.Session
	// OwnershipUntil is the expiry of the ownership lease: from then on no shard may be
	// served.
	OwnershipUntil clock.Instant
	// ViewUntil is the expiry of the view lease: from then on no request may be
	// accepted.
	ViewUntil clock.Instant
	// RangeLeaseUntil is the expiry of the lease on ranges of keys: from then on the
	// upstream must not hold any.
	RangeLeaseUntil clock.Instant
}
