package session

import (
	"reflect"
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Release reports released shards with the next renewal, which becomes due now. The
// report is repeated until the view shows the release.
func (c *Core) Release(now clock.Instant, releases []fsm.ShardRelease) {
	for _, r := range releases {
		c.pendingReleases[r.Shard] = r
	}
	c.renewAt = now
}

// ReportRanges reports released ranges of keys with the next renewal, which becomes
// due now. A report is repeated until the view shows the release.
func (c *Core) ReportRanges(now clock.Instant, reports []RangeReport) {
	for _, report := range reports {
		same := func(other RangeReport) bool { return reflect.DeepEqual(other, report) }
		if !slices.ContainsFunc(c.pendingReports, same) {
			c.pendingReports = append(c.pendingReports, report)
		}
	}
	c.renewAt = now
}

// ReportLoads sends the load of keys, the mean run time of requests and the limit of the
// upstream with the next renewal, once. A later report replaces one that was not sent yet,
// except that one without runs has no run time and does not replace a known one.
func (c *Core) ReportLoads(loads []KeyLoad, runTime time.Duration, limit int) {
	if runTime == 0 {
		runTime = c.runTime
	}
	c.keyLoads, c.runTime, c.limit = loads, runTime, limit
}

// applyKeySpaces follows the key spaces by a change and drops the reports that it confirms.
func (c *Core) applyKeySpaces(change *fleet.Change) {
	if change.Full {
		clear(c.keySpaces)
	}
	for _, space := range change.KeySpaces {
		c.keySpaces[space.Service] = &space
	}
	for i := range change.KeySpaceChanges {
		changed := &change.KeySpaceChanges[i]
		c.keySpaces[changed.Service] = changed.Apply(c.keySpaces[changed.Service])
	}
	for _, service := range change.ChangedKeySpaces() {
		c.dropConfirmedReports(c.keySpaces[service])
	}
}

// dropConfirmedReports removes the released ranges that a key space no longer shows
// as held, and the reports that have none left.
func (c *Core) dropConfirmedReports(space *fleet.KeySpace) {
	var remaining []RangeReport
	for _, report := range c.pendingReports {
		if report.Service == space.Service {
			report.Releases = slices.DeleteFunc(slices.Clone(report.Releases), func(r fsm.RangeRelease) bool {
				return !c.stillHeld(space, report.Boot, &r)
			})
		}
		if len(report.Releases) > 0 {
			remaining = append(remaining, report)
		}
	}
	c.pendingReports = remaining
}

// stillHeld reports whether a key space shows a part of a released range as held
// by this router under an epoch that the release covers.
func (c *Core) stillHeld(space *fleet.KeySpace, boot string, r *fsm.RangeRelease) bool {
	return slices.ContainsFunc(space.Ranges, func(held fleet.KeyRange) bool {
		return held.First <= r.Last && held.Last >= r.First && held.HeldBy(c.router.ID, boot) && held.Epoch <= r.Epoch
	})
}
