package controller

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

// HandleRenewal handles a router's renewal on a stream. It proposes to open a session
// for a router that has none, grants a lease to one that has, and proposes the
// changes that the renewal reports.
func (c *Core) HandleRenewal(now clock.Instant, id StreamID, up *session.RouterMessage) {
	if !c.holdsLeaderLease(now) {
		c.redirect(id)
		return
	}
	s := c.streams[id]
	if s == nil {
		s = &stream{id: id, router: up.Router.ID, session: up.Session, sentVersion: up.Applied, needsFull: up.NeedFull, differences: up.Differences}
		c.streams[id] = s
	}
	s.nonce, s.sequence, s.applied, s.lastReceivedAt = up.Nonce, up.Sequence, up.Applied, now
	if up.Session != 0 {
		s.session = up.Session
	}
	if s.session == 0 && !up.Registers {
		return
	}
	if s.session == 0 {
		c.propose(fsm.Command{OpenSession: &fsm.OpenSession{Router: up.Router, Nonce: up.Nonce}})
		return
	}
	if up.Closing && c.ownsShards(s.session) {
		// Requests may still run on its shards, so the session is neither closed
		// nor renewed: the shards become free once a release reported before is
		// committed, or once its lease has expired.
		return
	}
	if !c.answerRenewal(now, s) {
		return
	}
	c.lastReports[s.session] = sessionReport{router: s.router, applied: up.Applied}
	c.handleReports(now, up, s.session)
}

// ownsShards reports whether a session owns a shard, granted or being revoked.
func (c *Core) ownsShards(session fleet.Session) bool {
	for shard := range c.state.View.Shards.All() {
		if shard.OwnedBy(session) {
			return true
		}
	}
	return false
}

// answerRenewal renews the session of a stream and answers its latest renewal with
// a lease, preceded by the view changes that the router lacks. A router that has
// to wait for a full view gets no lease. It reports false if no session was renewed
// or the leader's lease has expired meanwhile; a session that is not current is
// rejected.
func (c *Core) answerRenewal(now clock.Instant, s *stream) bool {
	current, ok := c.state.View.Routers[s.router]
	if !ok || current.Session != s.session || !c.table.Renew(s.session, now) {
		c.logEvent(event.SessionRejected, event.F("router", string(s.router)), event.F("session", uint64(s.session)))
		c.output.Sends = append(c.output.Sends, StreamMessage{Stream: s.id, Message: session.ControlMessage{Session: s.session, Rejected: true}})
		delete(c.streams, s.id)
		return false
	}
	if !c.holdsLeaderLease(now) {
		return false
	}
	if !c.ensureSynced(now, s) {
		c.output.Sends = append(c.output.Sends, StreamMessage{Stream: s.id, Message: session.ControlMessage{Session: s.session}})
		return true
	}
	c.output.Sends = append(c.output.Sends, StreamMessage{Stream: s.id, Message: session.ControlMessage{
		Session: s.session, Sequence: s.sequence, Lease: true, Ownership: c.timing.Ownership, View: c.timing.View, Version: s.sentVersion,
		Members: c.newMembers(s),
	}})
	return true
}

// newMembers returns the peer addresses of the control processes if the voters
// changed since they were last sent on the stream. Without a minimum of voters the
// group is fixed and listed in the routers' settings.
func (c *Core) newMembers(s *stream) []string {
	if c.minVoters == 0 || slices.Equal(s.members, c.leadership.Voters) {
		return nil
	}
	s.members = c.leadership.Voters
	return lo.Map(s.members, func(member string, _ int) string {
		name, _, _ := strings.Cut(member, "/")
		return c.peerAddress(name)
	})
}

// handleReports proposes the changes that a renewal reports: the closing of its
// session, a changed registration, and released ranges and shards.
func (c *Core) handleReports(now clock.Instant, up *session.RouterMessage, id fleet.Session) {
	if up.Closing {
		c.propose(fsm.Command{CloseSessions: &fsm.CloseSessions{Term: c.term, Sessions: []fleet.Session{id}}})
		return
	}
	router := up.Router
	router.Session = id
	if up.Registers && c.state.View.Routers[router.ID] != router {
		c.propose(fsm.Command{UpdateRouter: &fsm.UpdateRouter{Router: router}})
	}
	c.handleRangeReports(now, up, c.state.View.Routers[router.ID])
	if len(up.Releases) > 0 {
		c.propose(fsm.Command{ReleaseShards: &fsm.ReleaseShards{Session: id, Releases: up.Releases}})
	}
}

// Detach removes a stream that ended. Its session stays open until its lease
// expires.
func (c *Core) Detach(id StreamID) { delete(c.streams, id) }
