package controller

import (
	"maps"
	"slices"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

// ApplyCommitted applies a committed command, which was appended to the log under a
// term, and announces its effects to routers and operators.
func (c *Core) ApplyCommitted(now clock.Instant, term uint64, command *fsm.Command) {
	before := maps.Clone(c.state.View.KeySpaces)
	result, change := c.state.Apply(term, command)
	if change != nil {
		c.appendHistory(change)
		c.broadcastPending = true
		c.planDue = true
		if slices.ContainsFunc(change.Routers, c.state.View.Eligible) {
			c.joins.record(now)
		}
	}
	switch {
	case command.OpenSession != nil:
		c.sessionOpened(now, command.OpenSession, result)
	case command.CloseSessions != nil:
		if result.Accepted {
			c.sessionsClosed(command.CloseSessions)
		}
	case command.Assign != nil:
		c.assignProposedAt = 0
		c.logAssign(change)
	case command.AssignRanges != nil:
		c.assignProposedAt = 0
	case command.ReleaseShards != nil:
		c.logShards(event.ShardsReleased, change, fleet.ShardFree)
	case command.OperatorChange != nil:
		if change != nil && c.leadership.IsLeader {
			c.rollout.commit(now, result.Config, result.Version)
		}
		c.operatorChangeApplied(command.OperatorChange, result)
	}
	c.followKeySpaces(change, before)
	c.logRanges(change, before)
	c.broadcast(now)
}

func (c *Core) appendHistory(change *fleet.Change) {
	if len(c.history) >= maxHistory {
		c.history = append([]*fleet.Change(nil), c.history[maxHistory/2:]...)
	}
	c.history = append(c.history, change)
}

// sessionOpened starts the lease of a new session and answers the router's streams
// that wait for it.
func (c *Core) sessionOpened(now clock.Instant, open *fsm.OpenSession, result fsm.Result) {
	c.table.Open(result.Session, now)
	if _, ok := c.lastReports[result.Session]; !ok {
		c.lastReports[result.Session] = sessionReport{router: open.Router.ID}
	}
	c.logEvent(event.SessionOpened, event.F("router", string(open.Router.ID)), event.F("session", uint64(result.Session)))
	for _, s := range c.streams {
		if s.nonce == open.Nonce && s.session == 0 {
			s.session = result.Session
			c.answerRenewal(now, s)
		}
	}
}

// sessionsClosed removes closed sessions and tells their routers.
func (c *Core) sessionsClosed(command *fsm.CloseSessions) {
	for _, id := range command.Sessions {
		c.table.Close(id)
		delete(c.closeProposedAt, id)
		if c.leadership.IsLeader {
			c.logEvent(event.SessionClosed, event.F("session", uint64(id)))
		}
		for _, s := range c.streams {
			if s.session == id {
				c.output.Sends = append(c.output.Sends, StreamMessage{Stream: s.id, Message: session.ControlMessage{Session: id, Closed: true, Rejected: true}})
				delete(c.streams, s.id)
			}
		}
	}
}

// operatorChangeApplied answers the requests that wait for a command.
func (c *Core) operatorChangeApplied(command *fsm.OperatorChange, result fsm.Result) {
	definition := event.CommandAccepted
	if !result.Accepted {
		definition = event.CommandRefused
	}
	number, base := command.PresetNumbers()
	c.logEvent(definition, event.F("command", command.CommandID), event.F("operator", command.Operator),
		event.F("config", uint64(result.Config)), event.F("number", number), event.F("base", base),
		event.F("view", uint64(result.Version)), event.F("reason", result.Reason))
	var remaining []pendingRequest
	for _, request := range c.pendingRequests {
		if request.commandID == command.CommandID {
			c.output.Replies = append(c.output.Replies, OperatorReply{Token: request.token, Result: result})
			continue
		}
		remaining = append(remaining, request)
	}
	c.pendingRequests = remaining
}

// presetNumber returns the operator's number of the preset in force, or zero.
func (c *Core) presetNumber() uint64 {
	if c.state.View.Preset == nil {
		return 0
	}
	return c.state.View.Preset.Number
}

func (c *Core) logAssign(change *fleet.Change) {
	c.logShards(event.ShardsGranted, change, fleet.ShardGranted)
	c.logShards(event.ShardsRevoked, change, fleet.ShardRevoking)
}

// logShards logs an event for each shard of a change that is in the given phase.
// Only the leader logs them.
func (c *Core) logShards(definition *event.Definition, change *fleet.Change, phase fleet.ShardPhase) {
	if change == nil || !c.leadership.IsLeader {
		return
	}
	for _, shard := range change.Shards {
		if shard.Phase == phase {
			c.logEvent(definition, event.F("shard", shard.ID.String()), event.F("owner", string(shard.Owner)), event.F("epoch", uint64(shard.Epoch)))
		}
	}
}
