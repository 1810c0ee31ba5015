package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// TestOwnersWithAllRangesGetNoBusyKey guards against more than fleet.MaxOwnerRanges ranges of one
// owner, whose list then exceeds the answer to a heartbeat: the owner with the most room
// holds as many already, and a free range has more load than the others have room for.
func TestOwnersWithAllRangesGetNoBusyKey(t *testing.T) {
	f := newSpreadFixture(t, 12, byCapacity)
	for _, router := range f.state.View.Routers {
		f.loads.AddRunTime(router.Upstream.Boot, 120*time.Millisecond)
	}
	fast := f.state.View.Routers["r03"]
	f.loads.runTimes[fast.Upstream.Boot] = 60 * time.Millisecond
	f.loads.Set(0, fleet.KeyCount-1, 100)
	f.loads.Set(fleet.KeyCount-1, fleet.KeyCount-1, 500)
	space := fleet.NewKeySpace("s")
	space.Ranges = nil
	for i := range uint32(150) {
		r := fleet.KeyRange{First: i, Last: i, Phase: fleet.ShardGranted, Owner: "r03", Boot: fast.Upstream.Boot, Epoch: fleet.Epoch(i + 1)}
		if i >= fleet.MaxOwnerRanges {
			r.Owner, r.Boot = "r04", f.state.View.Routers["r04"].Upstream.Boot
		}
		space.Ranges = append(space.Ranges, r)
	}
	space.Ranges = append(space.Ranges, fleet.KeyRange{First: 150, Last: fleet.KeyCount - 2, Phase: fleet.ShardGranted, Owner: "r05", Boot: f.state.View.Routers["r05"].Upstream.Boot, Epoch: 151})
	space.Ranges = append(space.Ranges, fleet.KeyRange{First: fleet.KeyCount - 1, Last: fleet.KeyCount - 1, Phase: fleet.ShardFree})
	space.LastEpoch = 151
	f.state.View.KeySpaces = map[string]*fleet.KeySpace{"s": space}
	assign := PlanRanges(f.state.View, "s", f.loads, f.limits)
	f.state.Apply(1, &fsm.Command{AssignRanges: assign})
	owner := f.state.View.KeySpaces["s"].Find(fleet.KeyCount - 1)
	assert.Assert(t, owner.Phase == fleet.ShardGranted && owner.Owner != "r03", "%+v", owner)
	assert.Equal(t, f.rangesOf()["r03"], fleet.MaxOwnerRanges)
}
