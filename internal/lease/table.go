// Package lease keeps both sides of the leases that the leader grants to routers.
// The leader's Table says when a session's leases have expired for certain; the
// router's Holder says when the router must stop acting on them, which is
// earlier.
package lease

import (
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Table is the leader's side. A session expires here only after the router's own
// lease has expired: the leader counts from its answer to a renewal and adds a
// margin for clock drift, the router counts from sending the renewal.
type Table struct {
	timing Timing
	// ownershipExpiries holds, by open session, when its ownership lease has
	// expired for certain, the margin for drift included.
	ownershipExpiries map[fleet.Session]clock.Instant
	// expired holds the open sessions that Expire has returned.
	expired map[fleet.Session]bool
	// viewExpiries holds the same for view leases, which may outlast the session:
	// those of closed sessions are kept until they have expired.
	viewExpiries map[fleet.Session]clock.Instant
	// unknownViewExpiry is when the view lease of any session that was closed
	// before this leader's term has expired for certain.
	unknownViewExpiry clock.Instant
}

// NewTable returns a table without sessions.
func NewTable(timing Timing) *Table {
	return &Table{
		timing: timing, ownershipExpiries: map[fleet.Session]clock.Instant{}, expired: map[fleet.Session]bool{},
		viewExpiries: map[fleet.Session]clock.Instant{},
	}
}

// Reset starts a leader's term. The previous leader may have renewed every
// session until now, so all leases are taken to start now.
func (t *Table) Reset(sessions []fleet.Session, now clock.Instant) {
	clear(t.ownershipExpiries)
	clear(t.expired)
	clear(t.viewExpiries)
	t.unknownViewExpiry = t.viewExpiry(now)
	for _, session := range sessions {
		t.ownershipExpiries[session] = t.ownershipExpiry(now)
		t.viewExpiries[session] = t.viewExpiry(now)
	}
}

// Renew extends a session's leases from now and reports whether it did. A session
// that has expired or is unknown cannot be renewed.
func (t *Table) Renew(session fleet.Session, now clock.Instant) bool {
	expiry, ok := t.ownershipExpiries[session]
	if !ok || t.expired[session] || expiry <= now {
		return false
	}
	t.ownershipExpiries[session] = t.ownershipExpiry(now)
	t.viewExpiries[session] = t.viewExpiry(now)
	return true
}

// Open adds a session with an ownership lease from now, unless it is open. The
// view lease starts with the first renewal.
func (t *Table) Open(session fleet.Session, now clock.Instant) {
	if _, ok := t.ownershipExpiries[session]; !ok {
		t.ownershipExpiries[session] = t.ownershipExpiry(now)
	}
}

// Close removes a session. Its view lease stays until it expires.
func (t *Table) Close(session fleet.Session) {
	delete(t.ownershipExpiries, session)
	delete(t.expired, session)
}

// Expire returns, sorted, the sessions whose ownership lease has expired by now
// and that were not returned before. It forgets expired view leases of closed
// sessions.
func (t *Table) Expire(now clock.Instant) []fleet.Session {
	var newlyExpired []fleet.Session
	for session, expiry := range t.ownershipExpiries {
		if expiry <= now && !t.expired[session] {
			t.expired[session] = true
			newlyExpired = append(newlyExpired, session)
		}
	}
	for session, expiry := range t.viewExpiries {
		if _, open := t.ownershipExpiries[session]; !open && expiry <= now {
			delete(t.viewExpiries, session)
		}
	}
	slices.Sort(newlyExpired)
	return newlyExpired
}

// Postpone delays the expiry of each known lease by a time for which this
// process was suspended and could not handle renewals.
func (t *Table) Postpone(suspended time.Duration) {
	for session := range t.ownershipExpiries {
		t.ownershipExpiries[session] = t.ownershipExpiries[session].Add(suspended)
	}
	for session := range t.viewExpiries {
		t.viewExpiries[session] = t.viewExpiries[session].Add(suspended)
	}
}

// Tracks reports whether a session is open or may still hold a view lease.
func (t *Table) Tracks(session fleet.Session) bool {
	_, open := t.ownershipExpiries[session]
	_, hasView := t.viewExpiries[session]
	return open || hasView
}

// MayHoldView returns, sorted, the sessions that may still hold a view lease, and
// whether there may be others that were closed before this leader's term.
func (t *Table) MayHoldView(now clock.Instant) (sessions []fleet.Session, others bool) {
	for session, expiry := range t.viewExpiries {
		if now < expiry {
			sessions = append(sessions, session)
		}
	}
	slices.Sort(sessions)
	return sessions, now < t.unknownViewExpiry
}

// Len returns the number of sessions that are not closed, expired ones included.
func (t *Table) Len() int { return len(t.ownershipExpiries) }

func (t *Table) viewExpiry(now clock.Instant) clock.Instant {
	return now.Add(t.timing.View + t.timing.Margin)
}

func (t *Table) ownershipExpiry(now clock.Instant) clock.Instant {
	return now.Add(t.timing.Ownership + t.timing.Margin)
}
