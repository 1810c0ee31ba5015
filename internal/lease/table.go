// Package lease holds the two ends of a lease: the leader's table of when each
// session may be taken to have ended, and the router's own, earlier end.
package lease

import (
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Table is the leader's side. A session is expired only after the router's own
// lease must have run out, since the leader counts from when it answered and
// the router from when it sent.
type Table struct {
	timing    Timing
	deadlines map[fleet.Session]clock.Instant
	expired   map[fleet.Session]bool
	// viewExpiries holds when each session's view lease has ended, also of closed ones.
	viewExpiries map[fleet.Session]clock.Instant
	// unknownViewExpiry is when the view lease of any session that was closed
	// before this leader's term has ended.
	unknownViewExpiry clock.Instant
}

// NewTable returns an empty table.
func NewTable(timing Timing) *Table {
	return &Table{
		timing: timing, deadlines: map[fleet.Session]clock.Instant{}, expired: map[fleet.Session]bool{},
		viewExpiries: map[fleet.Session]clock.Instant{},
	}
}

// Reset starts a leader's term: every session may have been renewed by the
// previous leader until now.
func (t *Table) Reset(sessions []fleet.Session, now clock.Instant) {
	clear(t.deadlines)
	clear(t.expired)
	clear(t.viewExpiries)
	t.unknownViewExpiry = t.viewExpiry(now)
	for _, session := range sessions {
		t.deadlines[session] = t.ownershipDeadline(now)
		t.viewExpiries[session] = t.viewExpiry(now)
	}
}

// Renew extends a session from now and reports whether it may still be
// renewed. A session that expired stays so.
func (t *Table) Renew(session fleet.Session, now clock.Instant) bool {
	deadline, ok := t.deadlines[session]
	if !ok || t.expired[session] || deadline <= now {
		return false
	}
	t.deadlines[session] = t.ownershipDeadline(now)
	t.viewExpiries[session] = t.viewExpiry(now)
	return true
}

// Open adds a session that was just opened.
func (t *Table) Open(session fleet.Session, now clock.Instant) {
	if _, ok := t.deadlines[session]; !ok {
		t.deadlines[session] = t.ownershipDeadline(now)
	}
}

// Close ends a session. Its view lease may last longer.
func (t *Table) Close(session fleet.Session) {
	delete(t.deadlines, session)
	delete(t.expired, session)
}

// Expire returns, in order, the sessions whose lease has ended by now and that
// were not returned before.
func (t *Table) Expire(now clock.Instant) []fleet.Session {
	var ended []fleet.Session
	for session, deadline := range t.deadlines {
		if deadline <= now && !t.expired[session] {
			t.expired[session] = true
			ended = append(ended, session)
		}
	}
	for session, end := range t.viewExpiries {
		if _, open := t.deadlines[session]; !open && end <= now {
			delete(t.viewExpiries, session)
		}
	}
	slices.Sort(ended)
	return ended
}

// Postpone moves every end by a time in which this process stood still.
func (t *Table) Postpone(still time.Duration) {
	for session := range t.deadlines {
		t.deadlines[session] = t.deadlines[session].Add(still)
	}
	for session := range t.viewExpiries {
		t.viewExpiries[session] = t.viewExpiries[session].Add(still)
	}
}

// Known reports whether a session is open or its view lease may not have ended.
func (t *Table) Known(session fleet.Session) bool {
	_, open := t.deadlines[session]
	_, working := t.viewExpiries[session]
	return open || working
}

// MayWork returns, in order, the sessions whose view lease may not have ended
// by now, and whether there may be others from before this leader's term.
func (t *Table) MayWork(now clock.Instant) (sessions []fleet.Session, others bool) {
	for session, end := range t.viewExpiries {
		if now < end {
			sessions = append(sessions, session)
		}
	}
	slices.Sort(sessions)
	return sessions, now < t.unknownViewExpiry
}

// Len returns the number of sessions.
func (t *Table) Len() int { return len(t.deadlines) }

func (t *Table) viewExpiry(now clock.Instant) clock.Instant {
	return now.Add(t.timing.View + t.timing.Margin)
}

func (t *Table) ownershipDeadline(now clock.Instant) clock.Instant {
	return now.Add(t.timing.Ownership + t.timing.Margin)
}
