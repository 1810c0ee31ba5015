package session

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Update is what entry and door learn from the session.
type Update struct {
	Change    *fleet.Change
	Session   fleet.Session
	OwnUntil  clock.Instant
	ViewUntil clock.Instant
	// RangesUntil is the instant from which ranges of keys must not be held.
	RangesUntil clock.Instant
}
