package controller

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
)

const (
	// spreadPerStream bounds the messages of changes: their number a second is
	// at most 1/spreadPerStream, however fast changes are committed.
	broadcastIntervalPerStream = 50 * time.Microsecond
	// fullViews is the number of full views sent in one fullInterval at most.
	// Routers beyond it wait for theirs without a lease.
	maxFullViews     = 64
	fullViewInterval = 100 * time.Millisecond
	// fullViewReuse is the number of later changes with which a full view that
	// was made before is still sent.
	maxFullViewLag = 512
)

// spread sends each attached router what was committed since the last time, as
// one change. The first change after a pause goes at once; those that follow
// wait, the longer the more streams there are.
func (c *Core) broadcast(now clock.Instant) {
	if !c.unsent || now < c.broadcastAt {
		return
	}
	c.unsent = false
	c.broadcastAt = now.Add(time.Duration(len(c.streams)) * broadcastIntervalPerStream)
	for _, s := range c.streams {
		if s.synced {
			c.catchUp(s)
		}
	}
}

// sync makes a stream's router follow the view, if it does not yet. It reports
// false if too many full views are on their way: the router must wait.
func (c *Core) sync(now clock.Instant, s *stream) bool {
	if s.synced {
		return true
	}
	if c.needsFullView(s) && !c.allowFullView(now) {
		return false
	}
	s.synced = true
	c.catchUp(s)
	return true
}

func (c *Core) needsFullView(s *stream) bool {
	_, ok := c.changesSince(s.sent)
	return !ok || s.needsFull
}

func (c *Core) allowFullView(now clock.Instant) bool {
	if now >= c.fullWindowEnd {
		c.fullWindowEnd, c.fullViewsSent = now.Add(fullViewInterval), 0
	}
	c.fullViewsSent++
	return c.fullViewsSent <= maxFullViews
}

// catchUp sends what a stream's router lacks of the present view.
func (c *Core) catchUp(s *stream) {
	if c.needsFullView(s) {
		full := c.fullView(s.sent)
		c.sendChange(s, full)
		s.sent, s.needsFull = full.To, false
	}
	if s.sent != c.state.View.Version {
		c.sendChange(s, c.mergedSince(s.sent))
		s.sent = c.state.View.Version
	}
}

func (c *Core) sendChange(s *stream, change *fleet.Change) {
	c.output.Sends = append(c.output.Sends, Send{Stream: s.id, Down: session.Down{Session: s.session, Change: change}})
}

// mergedSince returns one change from a version, which the history must reach,
// to the present view. Streams at one version share it.
func (c *Core) mergedSince(version fleet.Version) *fleet.Change {
	if c.mergedTo != c.state.View.Version {
		c.mergedTo = c.state.View.Version
		clear(c.merged)
	}
	if c.merged[version] == nil {
		changes, _ := c.changesSince(version)
		c.merged[version] = fleet.MergeChanges(changes)
	}
	return c.merged[version]
}

// fullView returns a full view, no older than a version, from which the history
// reaches the present one. Streams that attach soon after each other share it.
func (c *Core) fullView(least fleet.Version) *fleet.Change {
	if c.cachedFull != nil && c.cachedFull.To >= least {
		if changes, ok := c.changesSince(c.cachedFull.To); ok && len(changes) < maxFullViewLag {
			return c.cachedFull
		}
	}
	c.cachedFull = c.state.View.Full()
	return c.cachedFull
}
