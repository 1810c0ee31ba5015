package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// SetView applies a change of the view and reports whether it fitted. The work
// is proportional to the change.
func (c *Core) SetView(now clock.Instant, change *fleet.Change) bool {
	if !c.view.Apply(change) {
		return false
	}
	if change.Preset != nil {
		c.followPreset()
	}
	if len(change.KeySpaces) > 0 {
		c.lookAt = min(c.lookAt, now)
	}
	if change.Full || len(change.Routers)+len(change.Removed)+len(change.DataCentres)+len(change.Upstreams) > 0 {
		c.lookForOthers()
	}
	if change.Full {
		c.holdings.rebuild(now, c.view)
		c.refuseMoved(now)
		for id := range c.holdings.shards {
			c.release(id)
		}
		return true
	}
	for _, shard := range change.Shards {
		c.holdings.adopt(now, shard)
	}
	c.refuseMoved(now)
	for _, shard := range change.Shards {
		c.release(shard.ID)
	}
	return true
}

// followPreset takes what the preset says of the upstream's service.
func (c *Core) followPreset() {
	if s := c.view.Preset.Service(c.upstream.Service); s != nil {
		c.limiter.ColdRate(s.Profile.ColdRate)
	}
}

// lookForOthers notes whether there is another door for the upstream's service.
func (c *Core) lookForOthers() {
	c.others = false
	for id, router := range c.view.Routers {
		if id != c.self && router.Serves(c.upstream.Service) && c.view.Eligible(router) {
			c.others = true
			return
		}
	}
}

// refuseMoved refuses queued calls whose shard is asked back or gone, so that
// their entries ask the next owner.
func (c *Core) refuseMoved(now clock.Instant) {
	var moved []*job
	for _, j := range c.queue {
		if j.call.Sharded && !c.owns(j) {
			moved = append(moved, j)
		}
	}
	for _, j := range moved {
		c.end(j, call.Refusal(&j.call, verdict.NotRun, verdict.ReasonNotOwner))
	}
	if len(moved) > 0 {
		c.fill(now)
	}
}

func (c *Core) owns(j *job) bool {
	h := c.holdings.granted(j.call.ShardID())
	return h != nil && h.shard.Epoch == j.epoch
}

// release gives a shard back if it was asked back and nothing of it runs.
func (c *Core) release(id fleet.ShardID) {
	if r, ok := c.holdings.release(id); ok {
		c.output.Releases = append(c.output.Releases, r)
	}
}
