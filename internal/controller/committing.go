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

// Committed applies a command that was appended to the log under a term.
func (c *Core) Committed(now clock.Instant, term uint64, command *fsm.Command) {
	before := maps.Clone(c.state.View.KeySpaces)
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
	case command.AssignRanges != nil:
		c.assigning = 0
	case command.ReleaseShards != nil:
		c.decideShards(event.ShardsReleased, change, fleet.ShardFree)
	case command.OperatorChange != nil:
		c.operated(command.OperatorChange, result)
	}
	c.decideRanges(change, before)
	c.spread(now)
}

func (c *Core) remember(change *fleet.Change) {
	if len(c.history) >= historyKept {
		c.history = append([]*fleet.Change(nil), c.history[historyKept/2:]...)
	}
	c.history = append(c.history, change)
}

func (c *Core) opened(now clock.Instant, open *fsm.OpenSession, result fsm.Result) {
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

func (c *Core) closed(command *fsm.CloseSessions) {
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

func (c *Core) operated(command *fsm.OperatorChange, result fsm.Result) {
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
