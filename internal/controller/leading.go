package controller

import (
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/session"
)

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
