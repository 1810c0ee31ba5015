// Package controller decides what the leader of control does: it renews and
// ends sessions, sends views, plans ownership and answers operators. It is a
// pure state machine over the replicated state; time is an argument.
package controller

import (
	"slices"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
	"endivespring/internal/session"
)

const (
	historyKept  = 4096                  // view changes kept for routers that reconnect
	proposeAgain = time.Second           // wait before a proposal that may be lost is repeated
	tickInterval = 25 * time.Millisecond // time between looks at leases and placement
	// forgetInterval is the time between looks at what may be forgotten.
	forgetInterval = time.Second
	waiterTimeout  = 10 * time.Second       // longest wait for an operator's commit
	stallTime      = 250 * time.Millisecond // time between looks that means that this process stood still
	streamTimeout  = 10 * time.Second       // silence after which a stream is forgotten
)

// Core is the controller of one control process. It is owned by one duty.
type Core struct {
	timing  lease.Timing
	limits  placement.Limits
	state   *control.State
	table   *lease.Table
	lead    Leadership
	term    uint64
	leader  func(name string) string
	history []*fleet.Change
	streams map[StreamID]*stream
	// unsent is set if streams lack committed changes; spreadAt is when they
	// may be sent next.
	unsent   bool
	spreadAt clock.Instant
	// merged holds changes up to version mergedTo by where they start.
	merged   map[fleet.Version]*fleet.Change
	mergedTo fleet.Version
	full     *fleet.Change
	// fulls counts the full views sent until fullsUntil.
	fulls      int
	fullsUntil clock.Instant
	// seen holds the sessions whose view lease may not have ended.
	seen    map[fleet.Session]sighting
	waiters []waiter
	// closing holds when each ended session was last proposed to be closed.
	closing   map[fleet.Session]clock.Instant
	assigning clock.Instant
	dirty     bool
	joins     settling
	// replanAt is when a plan is due although nothing changed.
	replanAt clock.Instant
	tickAt   clock.Instant
	forgetAt clock.Instant
	// tickedAt is when Tick last looked at leases in this term.
	tickedAt clock.Instant
	output   Output
}

// New returns a controller that does not lead. The function leader maps the
// name of a control process to its peer address.
func New(timing lease.Timing, limits placement.Limits, leader func(name string) string) *Core {
	return &Core{
		timing: timing, limits: limits, leader: leader, state: control.NewState(), table: lease.NewTable(timing),
		streams: map[StreamID]*stream{}, merged: map[fleet.Version]*fleet.Change{}, seen: map[fleet.Session]sighting{}, closing: map[fleet.Session]clock.Instant{},
	}
}

// Take returns what the steps since the last Take ask for.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// State returns the replicated state; it must not be changed.
func (c *Core) State() *control.State { return c.state }

// Restore replaces the state by that of a snapshot.
func (c *Core) Restore(state *control.State) {
	c.state = state
	c.history = nil
	c.full = nil
	clear(c.merged)
}

// Deadline returns when Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	if c.unsent {
		return min(c.tickAt, c.spreadAt)
	}
	return c.tickAt
}

// leading reports whether this process may answer renewals now.
func (c *Core) leading(now clock.Instant) bool { return c.lead.Leads && now < c.lead.LeaseUntil }

// Lead takes the node's leadership. At the start of a term every session may
// have been renewed by the previous leader until now.
func (c *Core) Lead(now clock.Instant, lead Leadership) {
	led := c.lead.Leads
	c.lead = lead
	if lead.Leads && lead.LeaseUntil > 0 && c.term != lead.Term {
		c.term = lead.Term
		c.table.Reset(c.state.Sessions(), now)
		c.startSightings()
		clear(c.closing)
		c.assigning, c.tickedAt = 0, 0
		c.dirty = true
		c.joins = settling{}
		c.decide(event.LeaderElected, event.F("term", lead.Term))
	}
	if led && !lead.Leads {
		c.decide(event.LeaderLost, event.F("term", lead.Term))
		c.stepDown()
	}
}

// startSightings takes it that no open session has a view yet.
func (c *Core) startSightings() {
	clear(c.seen)
	for _, router := range c.state.View.Routers {
		c.seen[router.Session] = sighting{router: router.ID}
	}
}

func (c *Core) stepDown() {
	for id := range c.streams {
		c.redirect(id)
	}
	clear(c.streams)
	for _, w := range c.waiters {
		c.output.Replies = append(c.output.Replies, OperatorReply{Token: w.token, Unknown: true})
	}
	c.waiters = nil
}

func (c *Core) redirect(id StreamID) {
	down := session.Down{Redirect: true}
	if !c.lead.Leads {
		down.Leader = c.leader(c.lead.Leader)
	}
	c.output.Sends = append(c.output.Sends, Send{Stream: id, Down: down})
}

// Committed applies a command that was appended to the log under a term.
func (c *Core) Committed(now clock.Instant, term uint64, command *control.Command) {
	result, change := c.state.Apply(term, command)
	if change != nil {
		c.remember(change)
		c.unsent = true
		c.dirty = true
		if slices.ContainsFunc(change.Routers, c.state.View.Eligible) {
			c.joins.join(now)
		}
	}
	switch {
	case command.OpenSession != nil:
		c.opened(now, command.OpenSession, result)
	case command.CloseSessions != nil:
		if result.Accepted {
			c.closed(command.CloseSessions)
		}
	case command.Assign != nil:
		c.assigning = 0
		c.decideAssign(change)
	case command.ReleaseShards != nil:
		c.decideShards(event.ShardsReleased, change, fleet.ShardFree)
	case command.OperatorChange != nil:
		c.operated(command.OperatorChange, result)
	}
	c.spread(now)
}

func (c *Core) remember(change *fleet.Change) {
	if len(c.history) >= historyKept {
		c.history = append([]*fleet.Change(nil), c.history[historyKept/2:]...)
	}
	c.history = append(c.history, change)
}

func (c *Core) opened(now clock.Instant, open *control.OpenSession, result control.Result) {
	c.table.Open(result.Session, now)
	if _, ok := c.seen[result.Session]; !ok {
		c.seen[result.Session] = sighting{router: open.Router.ID}
	}
	c.decide(event.SessionOpened, event.F("router", string(open.Router.ID)), event.F("session", uint64(result.Session)))
	for _, s := range c.streams {
		if s.nonce == open.Nonce && s.session == 0 {
			s.session = result.Session
			c.renew(now, s)
		}
	}
}

func (c *Core) closed(command *control.CloseSessions) {
	for _, id := range command.Sessions {
		c.table.Close(id)
		delete(c.closing, id)
		if c.lead.Leads {
			c.decide(event.SessionClosed, event.F("session", uint64(id)))
		}
		for _, s := range c.streams {
			if s.session == id {
				c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{Session: id, Closed: true, Rejected: true}})
				delete(c.streams, s.id)
			}
		}
	}
}

func (c *Core) operated(command *control.OperatorChange, result control.Result) {
	definition := event.CommandAccepted
	if !result.Accepted {
		definition = event.CommandRefused
	}
	c.decide(definition, event.F("command", command.CommandID), event.F("operator", command.Operator),
		event.F("config", uint64(result.Config)), event.F("reason", result.Reason))
	var left []waiter
	for _, w := range c.waiters {
		if w.command == command.CommandID {
			c.output.Replies = append(c.output.Replies, OperatorReply{Token: w.token, Result: result})
			continue
		}
		left = append(left, w)
	}
	c.waiters = left
}

// Renewal takes a router's message on a stream.
func (c *Core) Renewal(now clock.Instant, id StreamID, up *session.Up) {
	if !c.leading(now) {
		c.redirect(id)
		return
	}
	s := c.streams[id]
	if s == nil {
		s = &stream{id: id, router: up.Router.ID, session: up.Session, sent: up.Applied, needsFull: up.NeedFull}
		c.streams[id] = s
	}
	s.nonce, s.sequence, s.applied, s.heardAt = up.Nonce, up.Sequence, up.Applied, now
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
	if up.Closing && c.holds(s.session) {
		// Work may still run: only the end of the lease frees the shards.
		return
	}
	if !c.renew(now, s) {
		return
	}
	c.seen[s.session] = sighting{router: s.router, applied: up.Applied}
	c.takeReports(up, s.session)
}

// holds reports whether a session has shards.
func (c *Core) holds(session fleet.Session) bool {
	for shard := range c.state.View.Shards.All() {
		if shard.OwnedBy(session) {
			return true
		}
	}
	return false
}

// renew answers the latest renewal of a stream with a lease, and first with
// what its view lacks.
func (c *Core) renew(now clock.Instant, s *stream) bool {
	current, ok := c.state.View.Routers[s.router]
	if !ok || current.Session != s.session || !c.table.Renew(s.session, now) {
		c.decide(event.SessionRejected, event.F("router", string(s.router)), event.F("session", uint64(s.session)))
		c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{Session: s.session, Rejected: true}})
		delete(c.streams, s.id)
		return false
	}
	if !c.leading(now) {
		return false
	}
	if !c.sync(now, s) {
		c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{Session: s.session}})
		return true
	}
	c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{
		Session: s.session, Sequence: s.sequence, Lease: true, Ownership: c.timing.Ownership, View: c.timing.View, Version: s.sent,
	}})
	return true
}

// since returns the changes after a version, if they are all kept.
func (c *Core) since(version fleet.Version) ([]*fleet.Change, bool) {
	if version == c.state.View.Version {
		return nil, true
	}
	if version == 0 || len(c.history) == 0 || version < c.history[0].From || version > c.state.View.Version {
		return nil, false
	}
	return c.history[version-c.history[0].From:], true
}

// takeReports proposes what a renewal says beyond being alive.
func (c *Core) takeReports(up *session.Up, id fleet.Session) {
	if up.Closing {
		c.propose(control.Command{CloseSessions: &control.CloseSessions{Term: c.term, Sessions: []fleet.Session{id}}})
		return
	}
	router := up.Router
	router.Session = id
	if up.Registers && c.state.View.Routers[router.ID] != router {
		c.propose(control.Command{UpdateRouter: &control.UpdateRouter{Router: router}})
	}
	if len(up.Releases) > 0 {
		c.propose(control.Command{ReleaseShards: &control.ReleaseShards{Session: id, Releases: up.Releases}})
	}
}

// Detach forgets a stream that ended.
func (c *Core) Detach(id StreamID) { delete(c.streams, id) }

// Operate takes an operator's command; the reply comes once it is committed.
func (c *Core) Operate(now clock.Instant, token uint64, change *control.OperatorChange) {
	if !c.leading(now) {
		c.output.Replies = append(c.output.Replies, OperatorReply{Token: token, Redirect: true})
		return
	}
	c.waiters = append(c.waiters, waiter{token: token, command: change.CommandID, until: now.Add(waiterTimeout)})
	c.propose(control.Command{OperatorChange: change})
}

// Tick spreads changes that wait, ends sessions whose lease has run out and
// plans ownership.
func (c *Core) Tick(now clock.Instant) {
	c.spread(now)
	if now < c.tickAt {
		return
	}
	c.tickAt = now.Add(tickInterval)
	if !c.leading(now) {
		return
	}
	if still := now.Sub(c.tickedAt); c.tickedAt > 0 && still > stallTime {
		// Renewals that came meanwhile were not looked at.
		c.table.Postpone(still)
	}
	c.tickedAt = now
	c.expireSessions(now)
	c.plan(now)
	c.forget(now)
}

// forget drops streams that are silent, sessions without any lease and
// operators' requests whose commands were not committed in time.
func (c *Core) forget(now clock.Instant) {
	if now < c.forgetAt {
		return
	}
	c.forgetAt = now.Add(forgetInterval)
	for id := range c.seen {
		if !c.table.Known(id) {
			delete(c.seen, id)
		}
	}
	c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
		if now >= w.until {
			c.output.Replies = append(c.output.Replies, OperatorReply{Token: w.token, Unknown: true})
		}
		return now >= w.until
	})
	for id, s := range c.streams {
		if now.Sub(s.heardAt) > streamTimeout {
			delete(c.streams, id)
		}
	}
}

func (c *Core) expireSessions(now clock.Instant) {
	for _, id := range c.table.Expire(now) {
		c.closing[id] = now - clock.Instant(proposeAgain)
		c.decide(event.SessionExpired, event.F("session", uint64(id)))
	}
	command := &control.CloseSessions{Term: c.term}
	for id, proposed := range c.closing {
		if now.Sub(proposed) >= proposeAgain {
			c.closing[id] = now
			command.Sessions = append(command.Sessions, id)
		}
	}
	slices.Sort(command.Sessions)
	if len(command.Sessions) > 0 {
		c.propose(control.Command{CloseSessions: command})
	}
}

func (c *Core) plan(now clock.Instant) {
	waiting := c.assigning != 0 && now.Sub(c.assigning) < proposeAgain
	if waiting || !c.dirty && now < c.replanAt {
		return
	}
	limits := c.limits
	limits.Starting, limits.Settling = c.joins.starting(now), c.joins.settling(now)
	assign := placement.Plan(c.state.View, limits)
	// A plan is made again until nothing is left to do: the proposal may get
	// lost, and the log may hold changes that void parts of it.
	c.dirty = !assign.Empty()
	c.replanAt = c.joins.next(now)
	if !c.dirty {
		return
	}
	c.assigning = now
	c.propose(control.Command{Assign: assign})
}

func (c *Core) propose(command control.Command) {
	c.output.Proposals = append(c.output.Proposals, command)
}

func (c *Core) decide(definition *event.Definition, fields ...event.Field) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(definition, fields...))
}

func (c *Core) decideAssign(change *fleet.Change) {
	c.decideShards(event.ShardsGranted, change, fleet.ShardGranted)
	c.decideShards(event.ShardsRevoked, change, fleet.ShardRevoking)
}

// decideShards logs the shards of a change in one phase, a line for each.
func (c *Core) decideShards(definition *event.Definition, change *fleet.Change, phase fleet.ShardPhase) {
	if change == nil || !c.lead.Leads {
		return
	}
	for _, shard := range change.Shards {
		if shard.Phase == phase {
			c.decide(definition, event.F("shard", shard.ID.String()), event.F("owner", string(shard.Owner)), event.F("epoch", uint64(shard.Epoch)))
		}
	}
}
