package controller

import (
	"slices"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fsm"
)

// cleanUp removes streams without a renewal within streamTimeout, reports of
// sessions whose leases have all expired, and operators' requests whose commands
// were not committed within operatorTimeout; those get an unknown outcome.
func (c *Core) cleanUp(now clock.Instant) {
	if now < c.cleanupAt {
		return
	}
	c.cleanupAt = now.Add(cleanupInterval)
	for id := range c.lastReports {
		if !c.table.Tracks(id) {
			delete(c.lastReports, id)
		}
	}
	c.pendingRequests = slices.DeleteFunc(c.pendingRequests, func(request pendingRequest) bool {
		if now >= request.deadline {
			c.output.Replies = append(c.output.Replies, OperatorReply{Token: request.token, OutcomeUnknown: true})
		}
		return now >= request.deadline
	})
	for id, s := range c.streams {
		if now.Sub(s.lastReceivedAt) > streamTimeout {
			delete(c.streams, id)
		}
	}
}

// expireSessions proposes to close the sessions whose lease has expired, again
// every reproposeInterval until that is committed. Their shards become free only
// with the commit.
func (c *Core) expireSessions(now clock.Instant) {
	for _, id := range c.table.Expire(now) {
		c.closeProposedAt[id] = now - clock.Instant(reproposeInterval)
		c.logEvent(event.SessionExpired, event.F("session", uint64(id)))
	}
	command := &fsm.CloseSessions{Term: c.term}
	for id, proposed := range c.closeProposedAt {
		if now.Sub(proposed) >= reproposeInterval {
			c.closeProposedAt[id] = now
			command.Sessions = append(command.Sessions, id)
		}
	}
	slices.Sort(command.Sessions)
	if len(command.Sessions) > 0 {
		c.propose(fsm.Command{CloseSessions: command})
	}
}
