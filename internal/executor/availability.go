package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// unavailable reports whether the upstream must get no new work of a service.
func (c *Core) unavailable(service string) bool {
	return c.upstream.Name == "" || c.leaving || c.registeredAsDeparted() || c.upstream.Service != service ||
		c.view.DataCentresOut[c.dataCentre] || c.view.UpstreamsOut[c.upstream.Name]
}

// registeredAsDeparted reports whether the view shows that this boot of the upstream has
// announced its departure.
func (c *Core) registeredAsDeparted() bool {
	registered := c.view.Routers[c.self]
	return registered.Departed() && registered.DepartedBoot == c.upstream.Boot
}

// DepartureRegistered reports whether the view shows under this session that a boot of the
// upstream has announced its departure.
func (c *Core) DepartureRegistered(boot string) bool {
	registered := c.view.Routers[c.self]
	return registered.Session == c.shards.session && registered.DepartedBoot == boot
}

// LastDeparture returns the latest departure that the view shows to have been announced to this
// router.
func (c *Core) LastDeparture() fleet.Departure {
	registered := c.view.Routers[c.self]
	return registered.LastDeparture
}

// unavailableForRanges reports whether the upstream must get no new calls for its key
// ranges. An upstream that is leaving or out of service goes on serving them for
// revocationGrace, while they are revoked.
func (c *Core) unavailableForRanges(now clock.Instant, service string) bool {
	if c.upstream.Name == "" || c.upstream.Service != service {
		return true
	}
	return c.unavailableSince != 0 && now >= c.unavailableSince.Add(c.revocationGrace)
}

// followAvailability records when the upstream becomes unavailable. It must be called on
// each change of what unavailable depends on: the grace counts from the change, whether or
// not there are calls meanwhile. There is none if the departure was announced to an earlier
// process of the router, any time ago.
func (c *Core) followAvailability(now clock.Instant) {
	switch {
	case !c.unavailable(c.upstream.Service):
		if c.unavailableSince != 0 {
			c.suspectCold(now)
		}
		c.unavailableSince = 0
	case c.registeredAsDeparted() && !c.leaving:
		c.unavailableSince = now.Add(-c.revocationGrace)
	case c.unavailableSince == 0:
		c.unavailableSince = now
	}
}
