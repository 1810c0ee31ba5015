package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Guards against released ranges of keys that stay without an owner: a report is repeated until
// the view shows the release, and a change of other ranges confirms nothing.
func TestReportIsRepeatedUntilItsRangeChanges(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newOpened(t, now)
	space := fleet.NewKeySpace("s")
	space.Split(100)
	space.Ranges[0] = fleet.KeyRange{First: 0, Last: 99, Phase: fleet.ShardGranted, Owner: self.ID, Boot: "b", Epoch: 1}
	space.Ranges[1] = fleet.KeyRange{First: 100, Last: fleet.KeyCount - 1, Phase: fleet.ShardGranted, Owner: "other", Boot: "o", Epoch: 2}
	version := fleet.Version(1)
	change := func(alter func(*fleet.KeySpace)) {
		next := space.Clone()
		alter(next)
		version++
		_, resync := c.Receive(now, &ControlMessage{Session: 5, Change: &fleet.Change{From: version - 1, To: version, KeySpaceChanges: []fleet.KeySpaceChange{fleet.DiffKeySpaces(space, next)}}})
		assert.Assert(t, !resync)
		space = next
	}
	_, resync := c.Receive(now, &ControlMessage{Session: 5, Change: &fleet.Change{To: version, Full: true, KeySpaces: []fleet.KeySpace{*space}}})
	assert.Assert(t, !resync)

	c.ReportRanges(now, []RangeReport{{Service: "s", Boot: "b", Releases: []fsm.RangeRelease{{First: 0, Last: 99, Epoch: 1}}}})
	change(func(next *fleet.KeySpace) { next.Ranges[1].Epoch = 3 })
	up, due := c.DueRenewal(now)
	assert.Assert(t, due)
	assert.Equal(t, len(up.RangeReports), 1, "another range changed")

	change(func(next *fleet.KeySpace) { next.Ranges[0] = fleet.KeyRange{First: 0, Last: 99, Epoch: 1} })
	c.renewAt = now
	up, _ = c.DueRenewal(now)
	assert.Equal(t, len(up.RangeReports), 0, "the range is free")
}
