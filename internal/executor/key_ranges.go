package executor

import (
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
)

// revocationCheckInterval is the time between checks whether the leases of
// revoked ranges have expired.
const revocationCheckInterval = 100 * time.Millisecond

// Heartbeat takes a heartbeat of an upstream that holds key ranges and returns
// the ranges that it may hold from now on.
func (c *Core) Heartbeat(now clock.Instant, h *Heartbeat) LeaseAnswer {
	c.Observe(now, h)
	if c.grantsByRequest() {
		c.stepRangeRequests(now)
		c.reportLoads(now, c.rangeRequests.granted, loadInterval)
		c.startQueued(now)
		return LeaseAnswer{}
	}
	c.reportEarlierBoots()
	c.reportRanges(c.rangeLeases.releases(now, c.view, h.Released, h.Holds))
	answer := LeaseAnswer{}
	if !c.AwaitsRegistration() {
		answer = c.rangeLeases.renew(now, c.view, c.rangeLeaseExpiry, h.Holds)
	}
	c.reportLoads(now, answer.Ranges, loadInterval)
	c.logRangeLease(&answer)
	c.startQueued(now)
	return answer
}

// AwaitsRegistration reports whether key ranges are granted to the upstream that must not be
// leased to it yet: under this session, the router has registered no upstream or another one.
// Control frees the ranges when the session of the router's earlier process ends meanwhile.
func (c *Core) AwaitsRegistration() bool {
	registered, ok := c.view.Routers[c.self]
	return ok && (registered.Session != c.shards.session || registered.Upstream.Boot != c.rangeLeases.boot) &&
		len(c.rangeLeases.owned(c.view, fleet.ShardGranted)) > 0
}

// Observe takes what a heartbeat says of the upstream, and leases nothing.
func (c *Core) Observe(now clock.Instant, h *Heartbeat) {
	c.rangeLeases.track(now, h)
	c.rangeRequests.track(now, h.Upstream, h.Newer, c.view)
	c.observeCold(now, h)
}

// reportLoads reports the load of the owned ranges if the interval has passed since the
// last report.
func (c *Core) reportLoads(now clock.Instant, owned []fleet.KeyRange, interval time.Duration) {
	if loads := c.keyMeter.report(now, owned, interval); loads != nil {
		c.earlyReport.refused, c.earlyReport.dueAt = false, 0
		c.output.KeyLoads, c.output.RunTime, c.output.Limit = loads, c.keyMeter.meanRun(), c.limiter.Limit()
	}
}

// CheckRevokedRanges reports the ranges of earlier boots of the upstream, and
// revoked ranges whose lease has expired. It schedules itself again while any
// range is revoked and not released.
func (c *Core) CheckRevokedRanges(now clock.Instant) {
	c.revocationCheckAt = clock.Never
	if c.grantsByRequest() {
		c.stepRangeRequests(now)
		return
	}
	c.reportEarlierBoots()
	if len(c.rangeLeases.owned(c.view, fleet.ShardRevoking)) == 0 {
		return
	}
	c.revocationCheckAt = now.Add(revocationCheckInterval)
	c.reportRanges(c.rangeLeases.releases(now, c.view, nil, nil))
}

// UpstreamEnded releases all ranges of the upstream because its process has
// exited.
func (c *Core) UpstreamEnded(now clock.Instant) {
	c.rangeRequests.end(c.view)
	if c.grantsByRequest() {
		c.stepRangeRequests(now)
		return
	}
	c.reportRanges(c.rangeLeases.releaseAll(c.view))
}

func (c *Core) reportEarlierBoots() {
	for _, r := range c.rangeLeases.releaseEarlierBoots(c.view) {
		c.reportRanges(r)
	}
}

func (c *Core) reportRanges(r session.RangeReport) {
	if len(r.Releases) > 0 {
		c.output.RangeReports = append(c.output.RangeReports, r)
	}
}

// logRangeLease logs the leased ranges if they differ from those of the last
// heartbeat.
func (c *Core) logRangeLease(answer *LeaseAnswer) {
	if slices.Equal(answer.Ranges, c.lastLeased) && answer.Renews == c.lastRenewed {
		return
	}
	c.lastLeased, c.lastRenewed = slices.Clone(answer.Ranges), answer.Renews
	definition := event.KeysLeased
	if !answer.Renews {
		definition = event.KeysNotRenewed
	}
	c.log(definition, event.F("upstream", c.upstream.Name), event.F("boot", c.upstream.Boot), event.F("service", c.upstream.Service),
		event.F("ranges", len(answer.Ranges)), event.F("keys", countKeys(answer.Ranges)), event.F("hold", answer.Hold),
		event.F("view", uint64(c.view.Version)))
}

func countKeys(ranges []fleet.KeyRange) int {
	keys := 0
	for i := range ranges {
		keys += ranges[i].Size()
	}
	return keys
}

// HoldsRanges reports whether key ranges are granted to the upstream.
func (c *Core) HoldsRanges() bool { return len(c.rangeLeases.owned(c.view, fleet.ShardGranted)) > 0 }

// SetHoldLimits limits the lease of each heartbeat to hold, and the time for which a
// leaving upstream goes on serving its ranges to a share of drain. Zero leaves
// the limit as it is.
func (c *Core) SetHoldLimits(hold, drain time.Duration) {
	if hold > 0 {
		c.rangeLeases.maxHold = min(maxHold, hold)
		c.rangeRequests.maxHold = c.rangeLeases.maxHold
	}
	if drain > 0 {
		c.revocationGrace = min(maxRevocationGrace, time.Duration(revocationShareOfDrain*float64(drain)))
	}
}
