// Package controller implements the leader's part of the control plane. The
// leader grants leases to the routers' membership sessions, closes sessions
// whose lease has expired, sends routers the committed changes of the view,
// plans the ownership of shards and ranges of keys, and answers operators.
//
// The package is a pure state machine over the replicated state: it does no I/O
// and takes the time as an argument. Every change of the state is proposed to
// the log first and announced to routers and operators only once it is
// committed.
package controller

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
)

const (
	// maxHistory is the number of view changes kept to bring reconnecting
	// routers up to date without a full view.
	maxHistory = 4096
	// reproposeInterval is the time after which a proposal that was not
	// committed is taken for lost and made again.
	reproposeInterval = time.Second
	// tickInterval is the time between checks of leases and placement.
	tickInterval = 25 * time.Millisecond
	// cleanupInterval is the time between removals of stale streams, reports and
	// operators' requests.
	cleanupInterval = time.Second
	// operatorTimeout is the longest wait for the commit of an operator's command.
	operatorTimeout = 10 * time.Second
	// stallThreshold is the time between two ticks beyond which this process is
	// taken to have been suspended.
	stallThreshold = 250 * time.Millisecond
	// streamTimeout is the time without a renewal after which a stream is removed.
	streamTimeout = 10 * time.Second
)

// Core is the controller of one control process. It is owned by one duty.
type Core struct {
	timing lease.Timing
	limits placement.Limits
	state  *fsm.State
	// table tracks the leases granted to sessions.
	table      *lease.Table
	leadership Leadership
	// term is the last term in which this process held the leader's lease.
	term uint64
	// peerAddress returns the peer address of a control process by its name.
	peerAddress func(name string) string
	// minVoters is the number of voters below which operators' commands are
	// refused.
	minVoters int
	// history holds the latest view changes, oldest first, without a gap.
	history []*fleet.Change
	streams map[StreamID]*stream
	// broadcastPending is set while committed changes wait for a broadcast;
	// broadcastAt is the earliest time of the next one.
	broadcastPending bool
	broadcastAt      clock.Instant
	// merged holds the changes that lead to version mergedTo, by the version at
	// which they start.
	merged   map[fleet.Version]*fleet.Change
	mergedTo fleet.Version
	// cachedFull is the last full view that was built.
	cachedFull *fleet.Change
	// fullViewsSent counts the full views sent in the window that ends at
	// fullWindowEnd.
	fullViewsSent int
	fullWindowEnd clock.Instant
	// lastReports holds the latest report of every session whose view lease may
	// not have expired, closed sessions included.
	lastReports     map[fleet.Session]sessionReport
	pendingRequests []pendingRequest
	// closeProposedAt holds, by expired session, when its closing was last
	// proposed.
	closeProposedAt map[fleet.Session]clock.Instant
	// assignProposedAt is when an assignment was proposed that is not committed
	// yet, or zero.
	assignProposedAt clock.Instant
	// planDue is set if the view changed after the last plan, or if that plan
	// proposed something.
	planDue bool
	joins   joinTracker
	// rollout follows the operators' commands that are not in force everywhere yet.
	rollout rollout
	// keyLoads holds the reported load of keys, by service.
	keyLoads map[string]*placement.KeyLoads
	// keyMoves counts the planned moves of keys by capacity.
	keyMoves uint64
	// keepLoadsAt is when the known loads are next replicated.
	keepLoadsAt clock.Instant
	// replanAt is when a plan is due without a change of the view.
	replanAt  clock.Instant
	nextTick  clock.Instant
	cleanupAt clock.Instant
	// lastTick is when leases were last checked in this term, or zero.
	lastTick clock.Instant
	output   Output
}

// New returns the controller of a process that is not leader, with an empty
// state. The function peerAddress maps the name of a control process to its peer
// address.
func New(timing lease.Timing, limits placement.Limits, peerAddress func(name string) string) *Core {
	return &Core{
		timing: timing, limits: limits, peerAddress: peerAddress, state: fsm.NewState(), table: lease.NewTable(timing),
		streams: map[StreamID]*stream{}, merged: map[fleet.Version]*fleet.Change{}, lastReports: map[fleet.Session]sessionReport{}, keyLoads: map[string]*placement.KeyLoads{}, closeProposedAt: map[fleet.Session]clock.Instant{},
	}
}

// RequireVoters sets the number of voters below which operators' commands are
// refused. While the log has fewer, a committed command might not survive the
// failures that the fleet must tolerate.
func (c *Core) RequireVoters(n int) { c.minVoters = n }

// Take returns the output collected since the last call and clears it.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// LeaderAddress returns the peer address of another process that is known as leader, or an empty
// string. A leader whose lease has run out knows no other.
func (c *Core) LeaderAddress() string {
	if c.leadership.IsLeader {
		return ""
	}
	return c.peerAddress(c.leadership.Leader)
}

// State returns the replicated state. The caller must not change it.
func (c *Core) State() *fsm.State { return c.state }

// Restore replaces the state by that of a snapshot and drops the history of
// view changes, which need not lead up to it.
func (c *Core) Restore(state *fsm.State) {
	c.state = state
	c.history = nil
	c.cachedFull = nil
	clear(c.merged)
}

// Deadline returns when Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	if c.broadcastPending {
		return min(c.nextTick, c.broadcastAt)
	}
	return c.nextTick
}

// holdsLeaderLease reports whether this process is leader and its lease has not
// expired. Only then may it grant leases and answer for the fleet.
func (c *Core) holdsLeaderLease(now clock.Instant) bool {
	return c.leadership.IsLeader && now < c.leadership.LeaseUntil
}

// changesSince returns the view changes after a version, oldest first. It
// reports false if the history lacks one of them.
func (c *Core) changesSince(version fleet.Version) ([]*fleet.Change, bool) {
	if version == c.state.View.Version {
		return nil, true
	}
	if version == 0 || len(c.history) == 0 || version < c.history[0].From || version > c.state.View.Version {
		return nil, false
	}
	return c.history[version-c.history[0].From:], true
}

// ProposeOperatorChange proposes an operator's command. The reply, which carries the token,
// follows once the command is committed, or at once if this process may not propose it or has
// applied the command already. A command without a base version may be an attempt that was held up on its way while later
// commands were executed, so it needs a caller that is known to still wait for it.
func (c *Core) ProposeOperatorChange(now clock.Instant, token uint64, change *fsm.OperatorChange) {
	if reply, ok := c.replyAtOnce(now, change); ok {
		reply.Token = token
		c.output.Replies = append(c.output.Replies, reply)
		return
	}
	if change.Unconditional {
		c.output.Replies = append(c.output.Replies, OperatorReply{Token: token, ConfirmCaller: true})
		return
	}
	c.acceptOperatorChange(now, token, change)
}

// ProposeConfirmedChange is ProposeOperatorChange for a command whose caller is known to
// still wait for it.
func (c *Core) ProposeConfirmedChange(now clock.Instant, token uint64, change *fsm.OperatorChange) {
	if reply, ok := c.replyAtOnce(now, change); ok {
		reply.Token = token
		c.output.Replies = append(c.output.Replies, reply)
		return
	}
	c.acceptOperatorChange(now, token, change)
}

// replyAtOnce returns the reply to a command that is not to be proposed here: it was accepted
// before, or this process may not propose commands. What was applied is committed, so that any
// process may say so, leader or not.
func (c *Core) replyAtOnce(now clock.Instant, change *fsm.OperatorChange) (reply OperatorReply, ok bool) {
	enoughVoters := len(c.leadership.Voters) >= c.minVoters
	if result, accepted := c.state.AcceptedBefore(change); accepted && enoughVoters {
		return OperatorReply{Result: result}, true
	}
	switch {
	case !c.holdsLeaderLease(now):
		return OperatorReply{Redirect: true, Leader: c.LeaderAddress()}, true
	case !enoughVoters:
		return OperatorReply{TooFewVoters: true}, true
	default:
		return OperatorReply{}, false
	}
}

func (c *Core) acceptOperatorChange(now clock.Instant, token uint64, change *fsm.OperatorChange) {
	c.pendingRequests = append(c.pendingRequests, pendingRequest{token: token, commandID: change.CommandID, deadline: now.Add(operatorTimeout)})
	c.propose(fsm.Command{OperatorChange: change})
}

// Tick sends committed changes that wait for a broadcast and, every
// tickInterval on the leader, closes expired sessions and plans ownership.
func (c *Core) Tick(now clock.Instant) {
	c.broadcast(now)
	if now < c.nextTick {
		return
	}
	c.nextTick = now.Add(tickInterval)
	if !c.holdsLeaderLease(now) {
		return
	}
	if stalled := now.Sub(c.lastTick); c.lastTick > 0 && stalled > stallThreshold {
		// Renewals that arrived during the stall are still queued, so their
		// sessions must not expire before they are handled.
		c.table.Postpone(stalled)
	}
	c.lastTick = now
	c.expireSessions(now)
	c.plan(now)
	c.keepLoads(now)
	c.followRollout(now)
	c.cleanUp(now)
}

func (c *Core) propose(command fsm.Command) {
	c.output.Proposals = append(c.output.Proposals, command)
}

func (c *Core) logEvent(definition *event.Definition, fields ...event.Field) {
	c.output.Events = append(c.output.Events, call.NewEvent(definition, fields...))
}
