package controller

import (
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/session"
)

// SetLeadership takes the leadership of this node. When it first holds the leader's lease
// of a term, all sessions get a whole lease from now: the previous leader may
// have renewed them until this moment.
func (c *Core) SetLeadership(now clock.Instant, lead Leadership) {
	wasLeader := c.leadership.IsLeader
	c.leadership = lead
	if lead.IsLeader && lead.LeaseUntil > 0 && c.term != lead.Term {
		c.term = lead.Term
		c.table.Reset(c.state.Sessions(), now)
		c.resetSessionReports()
		clear(c.closeProposedAt)
		c.assignProposedAt, c.lastTick = 0, 0
		c.planDue = true
		c.joins = joinTracker{}
		c.rollout = rollout{}
		c.restoreLoads(now)
		if c.state.View.Config > 0 {
			c.rollout.commit(now, c.state.View.Config, c.state.ConfigChangedAt)
		}
		c.logEvent(event.LeaderElected, event.F("term", lead.Term), event.F("config", uint64(c.state.View.Config)),
			event.F("number", c.presetNumber()), event.F("view", uint64(c.state.View.Version)))
	}
	if wasLeader && !lead.IsLeader {
		c.logEvent(event.LeaderLost, event.F("term", lead.Term))
		c.rollout = rollout{}
		c.stepDown()
	}
}

// resetSessionReports records that no open session is known to have applied any
// view, since reports to the previous leader are lost.
func (c *Core) resetSessionReports() {
	clear(c.lastReports)
	for _, router := range c.state.View.Routers {
		c.lastReports[router.Session] = sessionReport{router: router.ID}
	}
}

// stepDown redirects all routers to the new leader and answers waiting operators
// that the outcome is unknown: the next leader may still commit their commands.
func (c *Core) stepDown() {
	for id := range c.streams {
		c.redirect(id)
	}
	clear(c.streams)
	for _, request := range c.pendingRequests {
		c.output.Replies = append(c.output.Replies, OperatorReply{Token: request.token, OutcomeUnknown: true})
	}
	c.pendingRequests = nil
}

func (c *Core) redirect(id StreamID) {
	down := session.ControlMessage{Redirect: true, Leader: c.LeaderAddress()}
	c.output.Sends = append(c.output.Sends, StreamMessage{Stream: id, Message: down})
}
