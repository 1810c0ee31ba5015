package session

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// departureMemory is how long a departure of the upstream that was announced to an
// earlier process of the router holds, unless upstreams state their start times: an
// announcement sent before the departure may still arrive.
const departureMemory = 10 * time.Second

// SetRegistration changes the upstream that the router registers, whether it is leaving,
// and whether the upstream itself has announced its departure. A renewal becomes due now
// if that changes anything.
func (c *Core) SetRegistration(now clock.Instant, upstream fleet.Upstream, leaving, departed bool) {
	next := c.router
	next.Upstream, next.Leaving = upstream, leaving
	switch {
	case departed:
		next.DepartedBoot = upstream.Boot
	case c.departed || upstream.Boot != c.router.DepartedBoot:
		next.DepartedBoot = ""
	}
	c.departed = departed
	if next != c.router {
		c.router, c.renewAt = next, now
	}
}

// SetDeparture registers that an upstream has announced its departure, beside the upstream that
// is registered. A renewal becomes due now if that changes anything.
func (c *Core) SetDeparture(now clock.Instant, departure fleet.Departure) {
	if later := c.router.LastDeparture.Later(departure); later != c.router.LastDeparture {
		c.router.LastDeparture, c.renewAt = later, now
	}
}

// adoptDeparture takes over for a while that the upstream has announced its departure to
// an earlier process of this router.
func (c *Core) adoptDeparture(now clock.Instant) {
	boot := c.registered.DepartedBoot
	if boot == "" || c.departed || c.router.DepartedBoot == boot || c.router.Upstream.Boot != "" && c.router.Upstream.Boot != boot {
		return
	}
	c.router.DepartedBoot, c.adoptedUntil = boot, now.Add(departureMemory)
}

// ordersBoots reports whether the upstreams beside this router state their start times. A boot
// that has departed is then never the same as one that announces itself later.
func (c *Core) ordersBoots() bool {
	return c.registered.EarlierStart != 0 || c.router.Upstream.StartMillis != 0
}
