package session

import (
	"reflect"
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/fleet"
)

// Release gives shards back with the next renewal, which becomes due. It is
// repeated until the view shows it.
func (c *Core) Release(now clock.Instant, releases []control.Release) {
	for _, r := range releases {
		c.pendingReleases[r.Shard] = r
	}
	c.renewAt = now
}

// ReportRanges gives ranges of keys back with the next renewal, which becomes
// due. It is repeated until the view shows it.
func (c *Core) ReportRanges(now clock.Instant, reports []RangeReport) {
	for _, report := range reports {
		same := func(other RangeReport) bool { return reflect.DeepEqual(other, report) }
		if !slices.ContainsFunc(c.pendingReports, same) {
			c.pendingReports = append(c.pendingReports, report)
		}
	}
	c.renewAt = now
}

// ReportLoads tells control of the load of keys, and of the mean run time of
// requests, with the next renewal.
func (c *Core) ReportLoads(loads []KeyLoad, runTime time.Duration) {
	c.keyLoads, c.runTime = loads, runTime
}

// dropReports forgets the reports that a key space shows as done.
func (c *Core) dropConfirmedReports(space *fleet.KeySpace) {
	var left []RangeReport
	for _, report := range c.pendingReports {
		if report.Service == space.Service {
			report.Releases = slices.DeleteFunc(slices.Clone(report.Releases), func(r control.RangeRelease) bool {
				return !c.stillHeld(space, report.Boot, &r)
			})
		}
		if len(report.Releases) > 0 {
			left = append(left, report)
		}
	}
	c.pendingReports = left
}

// stillHeld reports whether a key space shows a released range as held.
func (c *Core) stillHeld(space *fleet.KeySpace, boot string, r *control.RangeRelease) bool {
	return slices.ContainsFunc(space.Ranges, func(held fleet.KeyRange) bool {
		return held.First <= r.Last && held.Last >= r.First && held.HeldBy(c.router.ID, boot) && held.Epoch <= r.Epoch
	})
}
