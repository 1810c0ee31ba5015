package gateway

import (
	"container/heap"
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	minParkDelay = 15 * time.Millisecond  // initial backoff of a parked request
	maxParkDelay = 120 * time.Millisecond // longest backoff of a parked request
	notParked    = -1
)

// parkWithBackoff parks a request and schedules its next dispatch. The delay grows
// exponentially, so that an executor with an outdated view is not called over and
// over. A change of the view may end it early.
func (c *Core) parkWithBackoff(now clock.Instant, p *pendingRequest) {
	c.park(p)
	if !p.sharded && !p.ranged {
		p.attempted = p.attempted[:0]
	}
	delay := min(maxParkDelay, minParkDelay<<min(p.parkings, 4))
	p.parkings++
	c.setTimer(p, min(now.Add(delay), p.deadline, p.waitUntil))
}

func (c *Core) setTimer(p *pendingRequest, at clock.Instant) {
	p.timer = at
	heap.Fix(&c.timers, p.timerIndex)
}

func (c *Core) park(p *pendingRequest) {
	if p.parkedIndex == notParked {
		p.parkedIndex = len(c.parked)
		c.parked = append(c.parked, p)
	}
}

func (c *Core) unpark(p *pendingRequest) {
	if p.parkedIndex == notParked {
		return
	}
	last := c.parked[len(c.parked)-1]
	c.parked[p.parkedIndex] = last
	last.parkedIndex = p.parkedIndex
	c.parked = c.parked[:len(c.parked)-1]
	p.parkedIndex = notParked
}

// wakeParked dispatches the parked requests for which a change of the view may have
// made an executor available.
func (c *Core) wakeParked(now clock.Instant, change *fleet.Change) {
	if len(c.parked) == 0 || change.Empty() {
		return
	}
	all := change.Full || change.ChangesPreset() || len(change.Routers)+len(change.DataCentres)+len(change.Upstreams) > 0
	changed := make(map[fleet.ShardID]bool, len(change.Shards))
	for _, shard := range change.Shards {
		changed[shard.ID] = true
	}
	spaces := map[string]bool{}
	for _, service := range change.ChangedKeySpaces() {
		spaces[service] = true
	}
	for _, p := range slices.Clone(c.parked) {
		if all || p.sharded && changed[p.shard] || p.ranged && spaces[p.request.Service] {
			c.dispatch(now, p)
		}
	}
}
