// Package controller decides what the leader of control does: it renews and
// ends sessions, sends views, plans ownership and answers operators. It is a
// pure state machine over the replicated state; time is an argument.
package controller

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
)

const (
	maxHistory        = 4096                  // view changes kept for routers that reconnect
	reproposeInterval = time.Second           // wait before a proposal that may be lost is repeated
	tickInterval      = 25 * time.Millisecond // time between looks at leases and placement
	// forgetInterval is the time between looks at what may be forgotten.
	cleanupInterval = time.Second
	operatorTimeout = 10 * time.Second       // longest wait for an operator's commit
	stallThreshold  = 250 * time.Millisecond // time between looks that means that this process stood still
	streamTimeout   = 10 * time.Second       // silence after which a stream is forgotten
)

// Core is the controller of one control process. It is owned by one duty.
type Core struct {
	timing      lease.Timing
	limits      placement.Limits
	state       *control.State
	table       *lease.Table
	leadership  Leadership
	term        uint64
	peerAddress func(name string) string
	// minVoters is the number of voters below which no operator's command is taken.
	minVoters int
	history   []*fleet.Change
	streams   map[StreamID]*stream
	// unsent is set if streams lack committed changes; spreadAt is when they
	// may be sent next.
	unsent      bool
	broadcastAt clock.Instant
	// merged holds changes up to version mergedTo by where they start.
	merged     map[fleet.Version]*fleet.Change
	mergedTo   fleet.Version
	cachedFull *fleet.Change
	// fulls counts the full views sent until fullsUntil.
	fullViewsSent int
	fullWindowEnd clock.Instant
	// seen holds the sessions whose view lease may not have ended.
	lastReports     map[fleet.Session]sessionReport
	pendingRequests []pendingRequest
	// closing holds when each ended session was last proposed to be closed.
	closeProposedAt  map[fleet.Session]clock.Instant
	assignProposedAt clock.Instant
	planDue          bool
	joins            joinTracker
	// loads holds what is known of the load of keys, by service.
	keyLoads map[string]*placement.KeyLoads
	// replanAt is when a plan is due although nothing changed.
	replanAt  clock.Instant
	nextTick  clock.Instant
	cleanupAt clock.Instant
	// tickedAt is when Tick last looked at leases in this term.
	lastTick clock.Instant
	output   Output
}

// New returns a controller that does not lead. The function leader maps the
// name of a control process to its peer address.
func New(timing lease.Timing, limits placement.Limits, leader func(name string) string) *Core {
	return &Core{
		timing: timing, limits: limits, peerAddress: leader, state: control.NewState(), table: lease.NewTable(timing),
		streams: map[StreamID]*stream{}, merged: map[fleet.Version]*fleet.Change{}, lastReports: map[fleet.Session]sessionReport{}, keyLoads: map[string]*placement.KeyLoads{}, closeProposedAt: map[fleet.Session]clock.Instant{},
	}
}

// RequireVoters sets the number of voters below which no operator's command is
// taken: a young log might not survive the losses that it must.
func (c *Core) RequireVoters(n int) { c.minVoters = n }

// Take returns what the steps since the last Take ask for.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// Leader returns the peer address of the known leader, or none.
func (c *Core) Leader() string { return c.peerAddress(c.leadership.Leader) }

// State returns the replicated state; it must not be changed.
func (c *Core) State() *control.State { return c.state }

// Restore replaces the state by that of a snapshot.
func (c *Core) Restore(state *control.State) {
	c.state = state
	c.history = nil
	c.cachedFull = nil
	clear(c.merged)
}

// Deadline returns when Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	if c.unsent {
		return min(c.nextTick, c.broadcastAt)
	}
	return c.nextTick
}

// leading reports whether this process may answer renewals now.
func (c *Core) holdsLeaderLease(now clock.Instant) bool {
	return c.leadership.Leads && now < c.leadership.LeaseUntil
}

// since returns the changes after a version, if they are all kept.
func (c *Core) changesSince(version fleet.Version) ([]*fleet.Change, bool) {
	if version == c.state.View.Version {
		return nil, true
	}
	if version == 0 || len(c.history) == 0 || version < c.history[0].From || version > c.state.View.Version {
		return nil, false
	}
	return c.history[version-c.history[0].From:], true
}

// Operate takes an operator's command; the reply comes once it is committed.
func (c *Core) Operate(now clock.Instant, token uint64, change *control.OperatorChange) {
	if !c.holdsLeaderLease(now) {
		c.output.Replies = append(c.output.Replies, OperatorReply{Token: token, Redirect: true, Leader: c.Leader()})
		return
	}
	if len(c.leadership.Voters) < c.minVoters {
		c.output.Replies = append(c.output.Replies, OperatorReply{Token: token, Unready: true})
		return
	}
	c.pendingRequests = append(c.pendingRequests, pendingRequest{token: token, commandID: change.CommandID, deadline: now.Add(operatorTimeout)})
	c.propose(control.Command{OperatorChange: change})
}

// Tick spreads changes that wait, ends sessions whose lease has run out and
// plans ownership.
func (c *Core) Tick(now clock.Instant) {
	c.broadcast(now)
	if now < c.nextTick {
		return
	}
	c.nextTick = now.Add(tickInterval)
	if !c.holdsLeaderLease(now) {
		return
	}
	if still := now.Sub(c.lastTick); c.lastTick > 0 && still > stallThreshold {
		// Renewals that came meanwhile were not looked at.
		c.table.Postpone(still)
	}
	c.lastTick = now
	c.expireSessions(now)
	c.plan(now)
	c.cleanUp(now)
}

func (c *Core) propose(command control.Command) {
	c.output.Proposals = append(c.output.Proposals, command)
}

func (c *Core) logEvent(definition *event.Definition, fields ...event.Field) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(definition, fields...))
}
