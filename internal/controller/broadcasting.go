package controller

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
)

const (
	// broadcastIntervalPerStream is the least time between two broadcasts for each
	// stream. It bounds the messages with changes to 1/broadcastIntervalPerStream
	// a second, however many streams there are and however fast changes are
	// committed.
	broadcastIntervalPerStream = 50 * time.Microsecond
	// maxFullViews is the number of full views sent in one fullViewInterval at
	// most. Routers beyond it wait for theirs and get no lease meanwhile.
	maxFullViews     = 64
	fullViewInterval = 100 * time.Millisecond
	// maxFullViewLag is the number of later changes at which a cached full view
	// is rebuilt instead of being sent followed by those changes.
	maxFullViewLag = 512
)

// broadcast sends each stream in sync the changes committed since the last
// broadcast, merged into one. The first change after a pause is sent at once;
// later ones wait for a time that grows with the number of streams.
func (c *Core) broadcast(now clock.Instant) {
	if !c.broadcastPending || now < c.broadcastAt {
		return
	}
	c.broadcastPending = false
	c.broadcastAt = now.Add(time.Duration(len(c.streams)) * broadcastIntervalPerStream)
	for _, s := range c.streams {
		if s.synced {
			c.catchUp(s)
		}
	}
}

// ensureSynced brings a stream up to the present view, after which it takes part in
// broadcasts. It reports false if the router needs a full view and the limit of
// full views is reached: then the router must wait for a later renewal.
func (c *Core) ensureSynced(now clock.Instant, s *stream) bool {
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

// needsFullView reports whether a stream's router cannot be brought up to date by
// changes alone.
func (c *Core) needsFullView(s *stream) bool {
	_, ok := c.changesSince(s.sentVersion)
	return !ok || s.needsFull
}

// allowFullView reports whether another full view may be sent in the present
// window, and counts it.
func (c *Core) allowFullView(now clock.Instant) bool {
	if now >= c.fullWindowEnd {
		c.fullWindowEnd, c.fullViewsSent = now.Add(fullViewInterval), 0
	}
	c.fullViewsSent++
	return c.fullViewsSent <= maxFullViews
}

// catchUp sends the difference between the version last sent on a stream and the
// present view: a full view where the history does not reach back far enough, and
// then one merged change.
func (c *Core) catchUp(s *stream) {
	if c.needsFullView(s) {
		full := c.fullView(s.sentVersion)
		c.sendChange(s, full)
		s.sentVersion, s.needsFull = full.To, false
	}
	if s.sentVersion != c.state.View.Version {
		change := c.mergedSince(s.sentVersion)
		if !s.differences {
			change = c.withoutDifferences(change)
		}
		c.sendChange(s, change)
		s.sentVersion = c.state.View.Version
	}
}

// withoutDifferences returns a change that leads to the present view with whole presets and
// key spaces in place of differences.
func (c *Core) withoutDifferences(change *fleet.Change) *fleet.Change {
	whole := *change
	if whole.PresetChange != nil {
		whole.Preset, whole.PresetChange = c.state.View.Preset, nil
	}
	whole.KeySpaces, whole.KeySpaceChanges = nil, nil
	for _, service := range change.ChangedKeySpaces() {
		whole.KeySpaces = append(whole.KeySpaces, *c.state.View.KeySpaces[service])
	}
	return &whole
}

func (c *Core) sendChange(s *stream, change *fleet.Change) {
	c.output.Sends = append(c.output.Sends, StreamMessage{Stream: s.id, Message: session.ControlMessage{Session: s.session, Change: change}})
}

// mergedSince returns the changes from a version to the present view, merged into
// one. The history must reach back to the version. Streams at the same version
// share the result, which must not be changed.
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

// fullView returns a full view of at least a version, from which the history
// leads to the present one. Streams that attach within maxFullViewLag changes share
// it and must not change it.
func (c *Core) fullView(least fleet.Version) *fleet.Change {
	if c.cachedFull != nil && c.cachedFull.To >= least {
		if changes, ok := c.changesSince(c.cachedFull.To); ok && len(changes) < maxFullViewLag {
			return c.cachedFull
		}
	}
	c.cachedFull = c.state.View.Full()
	return c.cachedFull
}
