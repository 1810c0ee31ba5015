package gateway

import (
	"container/heap"
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	retryDelay    = 15 * time.Millisecond  // first wait before a door is looked for again
	maxRetryDelay = 120 * time.Millisecond // longest such wait
	notParked     = -1
)

// wait parks a request until a door may be found for it. Waits grow, so that a
// door whose view is behind is not asked over and over; a change of the view
// ends them early.
func (c *Core) wait(now clock.Instant, t *task) {
	c.park(t)
	if !t.sharded && !t.ranged {
		t.tried = t.tried[:0]
	}
	delay := min(maxRetryDelay, retryDelay<<min(t.waits, 4))
	t.waits++
	c.setTimer(t, min(now.Add(delay), t.deadline, t.patience))
}

func (c *Core) setTimer(t *task, at clock.Instant) {
	t.timer = at
	heap.Fix(&c.timers, t.index)
}

func (c *Core) park(t *task) {
	if t.parkedAt == notParked {
		t.parkedAt = len(c.parked)
		c.parked = append(c.parked, t)
	}
}

func (c *Core) unpark(t *task) {
	if t.parkedAt == notParked {
		return
	}
	last := c.parked[len(c.parked)-1]
	c.parked[t.parkedAt] = last
	last.parkedAt = t.parkedAt
	c.parked = c.parked[:len(c.parked)-1]
	t.parkedAt = notParked
}

// wakeParked tries parked requests again that a change may have found a door for.
func (c *Core) wakeParked(now clock.Instant, change *fleet.Change) {
	if len(c.parked) == 0 || change.Empty() {
		return
	}
	all := change.Full || change.Preset != nil || len(change.Routers)+len(change.DataCentres)+len(change.Upstreams) > 0
	changed := make(map[fleet.ShardID]bool, len(change.Shards))
	for _, shard := range change.Shards {
		changed[shard.ID] = true
	}
	spaces := make(map[string]bool, len(change.KeySpaces))
	for i := range change.KeySpaces {
		spaces[change.KeySpaces[i].Service] = true
	}
	for _, t := range slices.Clone(c.parked) {
		if all || t.sharded && changed[t.shard] || t.ranged && spaces[t.request.Service] {
			c.try(now, t)
		}
	}
}
