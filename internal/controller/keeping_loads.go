package controller

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fsm"
	"endivespring/internal/placement"
)

const (
	// keepInterval is the time between writes of the known loads to the log: some 8 KB for
	// a service of 1,024 ranges and 154 upstreams.
	keepInterval = 10 * time.Second
	// minKeptRate is the total load, in requests a second, below which loads are not kept.
	minKeptRate = 1.0
)

// keepLoads proposes to replicate the known loads of keys, so that the next leader does not
// start without any.
func (c *Core) keepLoads(now clock.Instant) {
	if !c.limits.Policy.ByCapacity || now < c.keepLoadsAt || c.state.View.Preset == nil {
		return
	}
	c.keepLoadsAt = now.Add(keepInterval)
	for i := range c.state.View.Preset.Services {
		service := c.state.View.Preset.Services[i].Name
		if loads := c.keyLoads[service]; loads != nil && loads.Total() >= minKeptRate {
			c.propose(fsm.Command{KeepLoads: loads.Kept(c.state.View, service)})
		}
	}
}

// restoreLoads takes the loads that an earlier leader kept, in place of those that this
// process may know from an earlier term.
func (c *Core) restoreLoads(now clock.Instant) {
	c.keepLoadsAt = now.Add(keepInterval)
	if !c.limits.Policy.ByCapacity {
		return
	}
	for service, kept := range c.state.KeptLoads {
		c.keyLoads[service] = placement.RestoreKeyLoads(kept)
	}
}
