package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// SetView applies a change to the view. It reports false, and changes nothing,
// if the change does not follow the view's version. Shards are updated at a cost
// proportional to the change; the queue and, on changes of routers, the routers
// are scanned.
func (c *Core) SetView(now clock.Instant, change *fleet.Change) bool {
	if !c.view.Apply(change) {
		return false
	}
	c.rangeLeases.begin(now)
	c.rangeRequests.begin(now)
	if change.ChangesPreset() {
		c.applyPreset()
	}
	spaces := len(change.ChangedKeySpaces()) > 0
	if change.Full || spaces {
		c.rangeRequests.refresh(c.view)
	}
	if spaces {
		c.revocationCheckAt = min(c.revocationCheckAt, now)
	}
	if change.Full || len(change.Routers)+len(change.Removed)+len(change.DataCentres)+len(change.Upstreams) > 0 {
		c.findPeers()
		c.followAvailability(now)
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

// StartedEarlier reports whether an upstream started before the latest one that was
// registered beside this router, also by an earlier process of it.
func (c *Core) StartedEarlier(u *fleet.Upstream) bool {
	registered := c.view.Routers[c.self]
	return registered.StartedEarlier(u)
}

// KnowsFleet reports whether the router has had a lease of its view. Before that the view may
// be an old one that control has kept, and lacks what was committed since.
func (c *Core) KnowsFleet() bool { return c.viewExpiry != 0 }

// ViewVersion returns the version of the view in use.
func (c *Core) ViewVersion() fleet.Version { return c.view.Version }

// applyPreset takes the settings of the upstream's service from the preset.
func (c *Core) applyPreset() {
	if s := c.view.Preset.Service(c.upstream.Service); s != nil {
		c.limiter.SetColdRate(s.Profile.ColdRate)
	}
}

// findPeers updates peerAvailable from the view.
func (c *Core) findPeers() {
	c.peerAvailable = false
	for id, router := range c.view.Routers {
		if id != c.self && router.Serves(c.upstream.Service) && c.view.Eligible(router) {
			c.peerAvailable = true
			return
		}
	}
}

// refuseUnowned refuses queued calls whose shard is revoked or lost at once, so
// that their gateways can try the next owner.
func (c *Core) refuseUnowned(now clock.Instant) {
	unowned := c.queue.collect(nil, func(j *job) bool { return j.call.Sharded && !c.owns(j) })
	for _, j := range unowned {
		c.finish(j, call.Refusal(&j.call, verdict.NotRun, verdict.ReasonNotOwner))
	}
	if len(unowned) > 0 {
		c.startQueued(now)
	}
}

// owns reports whether the job's shard is still granted under the epoch of its
// admission.
func (c *Core) owns(j *job) bool {
	owned := c.shards.granted(j.call.ShardID())
	return owned != nil && owned.shard.Epoch == j.epoch
}

// releaseShard reports the release of a shard that is revoked and has no call
// in flight, so that a shard is released only after its work has ended.
func (c *Core) releaseShard(id fleet.ShardID) {
	if r, ok := c.shards.release(id); ok {
		c.output.Releases = append(c.output.Releases, r)
	}
}
