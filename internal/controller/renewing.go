package controller

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
)

// Renewal takes a router's message on a stream.
func (c *Core) Renewal(now clock.Instant, id StreamID, up *session.Up) {
	if !c.holdsLeaderLease(now) {
		c.redirect(id)
		return
	}
	s := c.streams[id]
	if s == nil {
		s = &stream{id: id, router: up.Router.ID, session: up.Session, sent: up.Applied, needsFull: up.NeedFull}
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
		c.propose(control.Command{OpenSession: &control.OpenSession{Router: up.Router, Nonce: up.Nonce}})
		return
	}
	if up.Closing && c.ownsShards(s.session) {
		// Work may still run: only the end of the lease frees the shards.
		return
	}
	if !c.answerRenewal(now, s) {
		return
	}
	c.lastReports[s.session] = sessionReport{router: s.router, applied: up.Applied}
	c.handleReports(up, s.session)
}

// holds reports whether a session has shards.
func (c *Core) ownsShards(session fleet.Session) bool {
	for shard := range c.state.View.Shards.All() {
		if shard.OwnedBy(session) {
			return true
		}
	}
	return false
}

// renew answers the latest renewal of a stream with a lease, and first with
// what its view lacks.
func (c *Core) answerRenewal(now clock.Instant, s *stream) bool {
	current, ok := c.state.View.Routers[s.router]
	if !ok || current.Session != s.session || !c.table.Renew(s.session, now) {
		c.logEvent(event.SessionRejected, event.F("router", string(s.router)), event.F("session", uint64(s.session)))
		c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{Session: s.session, Rejected: true}})
		delete(c.streams, s.id)
		return false
	}
	if !c.holdsLeaderLease(now) {
		return false
	}
	if !c.sync(now, s) {
		c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{Session: s.session}})
		return true
	}
	c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{
		Session: s.session, Sequence: s.sequence, Lease: true, Ownership: c.timing.Ownership, View: c.timing.View, Version: s.sent,
		Members: c.newMembers(s),
	}})
	return true
}

// newMembers returns the addresses of the control processes if they changed
// since the stream's router was told of them. A group that never changes is
// listed in the routers' settings.
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

// takeReports proposes what a renewal says beyond being alive.
func (c *Core) handleReports(up *session.Up, id fleet.Session) {
	if up.Closing {
		c.propose(control.Command{CloseSessions: &control.CloseSessions{Term: c.term, Sessions: []fleet.Session{id}}})
		return
	}
	router := up.Router
	router.Session = id
	if up.Registers && c.state.View.Routers[router.ID] != router {
		c.propose(control.Command{UpdateRouter: &control.UpdateRouter{Router: router}})
	}
	c.handleRangeReports(up, c.state.View.Routers[router.ID])
	if len(up.Releases) > 0 {
		c.propose(control.Command{ReleaseShards: &control.ReleaseShards{Session: id, Releases: up.Releases}})
	}
}

// Detach forgets a stream that ended.
func (c *Core) Detach(id StreamID) { delete(c.streams, id) }
