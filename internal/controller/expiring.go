package controller

import (
	"slices"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fsm"
)

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
	command := &fsm.CloseSessions{Term: c.term}
	for id, proposed := range c.closing {
		if now.Sub(proposed) >= proposeAgain {
			c.closing[id] = now
			command.Sessions = append(command.Sessions, id)
		}
	}
	slices.Sort(command.Sessions)
	if len(command.Sessions) > 0 {
		c.propose(fsm.Command{CloseSessions: command})
	}
}
