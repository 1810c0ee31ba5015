package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// TestBusyKeyDoesNotMoveBack lets the reported run times of two owners change places after a
// busy key has been revoked. It guards against a grant back to its earlier owner and against
// a second move before the rates after the first one are known.
func TestBusyKeyDoesNotMoveBack(t *testing.T) {
	for _, interleave := range []int{24, 16} {
		f := newSpreadFixture(t, 2, Policy{Interleave: interleave, ByCapacity: true})
		f.converge(t)
		slow := *f.state.View.KeySpaces["s"].Find(30000)
		for _, router := range f.state.View.Routers {
			f.loads.AddRunTime(router.Upstream.Boot, 92*time.Millisecond)
		}
		f.loads.runTimes[slow.Boot] = 240 * time.Millisecond
		f.loads.Set(0, fleet.KeyCount-1, 10)
		f.loads.Set(30000, 30000, 300)
		now := clock.Instant(1)
		plan := func() (busy []Move) {
			f.loads.Prune(now, f.state.View)
			assign, moves := PlanRangeMoves(f.state.View, "s", f.loads, f.limits)
			f.loads.FollowMoves(now, moves)
			if assign != nil {
				f.state.Apply(1, &fsm.Command{AssignRanges: assign})
			}
			for _, m := range moves {
				if m.BusyKey != nil {
					busy = append(busy, m)
				}
			}
			return busy
		}
		assert.Equal(t, len(plan()), 1)
		f.releaseRevoked()
		for range 10 {
			f.loads.AddRunTime(slow.Boot, 20*time.Millisecond)
		}
		for range 20 {
			now = now.Add(350 * time.Millisecond)
			assert.Equal(t, len(plan()), 0, "interleave %d", interleave)
			r := f.state.View.KeySpaces["s"].Find(30000)
			assert.Assert(t, r.Phase == fleet.ShardGranted && r.Boot != slow.Boot, "interleave %d: %+v", interleave, r)
			f.releaseRevoked()
		}
		now = now.Add(time.Second)
		assert.Equal(t, len(plan()), 1, "interleave %d: the key stays at the owner that has become slow", interleave)
	}
}
