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
		c.applyPreset()
	}
	if len(change.KeySpaces) > 0 {
		c.revocationCheckAt = min(c.revocationCheckAt, now)
	}
	if change.Full || len(change.Routers)+len(change.Removed)+len(change.DataCentres)+len(change.Upstreams) > 0 {
		c.findPeers()
	}
	if change.Full {
		c.shards.rebuild(now, c.view)
		c.refuseUnowned(now)
		for id := range c.shards.shards {
			c.releaseShard(id)
		}
		return true
	}
	for _, shard := range change.Shards {
		c.shards.apply(now, shard)
	}
	c.refuseUnowned(now)
	for _, shard := range change.Shards {
		c.releaseShard(shard.ID)
	}
	return true
}

// followPreset takes what the preset says of the upstream's service.
func (c *Core) applyPreset() {
	if s := c.view.Preset.Service(c.upstream.Service); s != nil {
		c.limiter.SetColdRate(s.Profile.ColdRate)
	}
}

// lookForOthers notes whether there is another door for the upstream's service.
func (c *Core) findPeers() {
	c.peerAvailable = false
	for id, router := range c.view.Routers {
		if id != c.self && router.Serves(c.upstream.Service) && c.view.Eligible(router) {
			c.peerAvailable = true
			return
		}
	}
}

// refuseMoved refuses queued calls whose shard is asked back or gone, so that
// their entries ask the next owner.
func (c *Core) refuseUnowned(now clock.Instant) {
	var unowned []*job
	for _, j := range c.queue {
		if j.call.Sharded && !c.owns(j) {
			unowned = append(unowned, j)
		}
	}
	for _, j := range unowned {
		c.finish(j, call.Refusal(&j.call, verdict.NotRun, verdict.ReasonNotOwner))
	}
	if len(unowned) > 0 {
		c.startQueued(now)
	}
}

func (c *Core) owns(j *job) bool {
	h := c.shards.granted(j.call.ShardID())
	return h != nil && h.shard.Epoch == j.epoch
}

// release gives a shard back if it was asked back and nothing of it runs.
func (c *Core) releaseShard(id fleet.ShardID) {
	if r, ok := c.shards.release(id); ok {
		c.output.Releases = append(c.output.Releases, r)
	}
}
