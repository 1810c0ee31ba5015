package controller

import (
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/session"
)

// Lead takes the node's leadership. At the start of a term every session may
// have been renewed by the previous leader until now.
func (c *Core) Lead(now clock.Instant, lead Leadership) {
	led := c.leadership.Leads
	c.leadership = lead
	if lead.Leads && lead.LeaseUntil > 0 && c.term != lead.Term {
		c.term = lead.Term
		c.table.Reset(c.state.Sessions(), now)
		c.resetSessionReports()
		clear(c.closeProposedAt)
		c.assignProposedAt, c.lastTick = 0, 0
		c.planDue = true
		c.joins = joinTracker{}
		c.logEvent(event.LeaderElected, event.F("term", lead.Term))
	}
	if led && !lead.Leads {
		c.logEvent(event.LeaderLost, event.F("term", lead.Term))
		c.stepDown()
	}
}

// startSightings takes it that no open session has a view yet.
func (c *Core) resetSessionReports() {
	clear(c.lastReports)
	for _, router := range c.state.View.Routers {
		c.lastReports[router.Session] = sessionReport{router: router.ID}
	}
}

func (c *Core) stepDown() {
	for id := range c.streams {
		c.redirect(id)
	}
	clear(c.streams)
	for _, w := range c.pendingRequests {
		c.output.Replies = append(c.output.Replies, OperatorReply{Token: w.token, Unknown: true})
	}
	c.pendingRequests = nil
}

func (c *Core) redirect(id StreamID) {
	down := session.Down{Redirect: true}
	if !c.leadership.Leads {
		down.Leader = c.peerAddress(c.leadership.Leader)
	}
	c.output.Sends = append(c.output.Sends, Send{Stream: id, Down: down})
}
