package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/placement"
	"endivespring/internal/wire"
)

// BenchmarkRanges answers a heartbeat of an owner of interleaved pieces, and reports the sizes
// of the command of a move, of the same with all ranges, of kept loads, and of the key space in
// a full view.
func BenchmarkRanges(b *testing.B) {
	for _, owners := range []int{39, 154} {
		b.Run(fmt.Sprint(owners), func(b *testing.B) {
			state, loads := fsm.NewState(), placement.NewKeyLoads()
			state.Apply(1, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "p", Preset: &fleet.Preset{Services: []fleet.Service{{Name: "archive", Keyed: true, Ranged: true}}}}})
			var router fleet.Router
			for i := range owners {
				boot := fmt.Sprintf("5b0c7a1e-%08d", i)
				router = fleet.Router{ID: fleet.RouterID(fmt.Sprintf("router-%03d", i)), Upstream: fleet.Upstream{Name: boot, Service: "archive", Boot: boot, Slots: 9}}
				state.Apply(1, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: boot, Router: router}})
				loads.AddRunTime(boot, 120*time.Millisecond)
				loads.AddLimit(boot, 9, 8)
			}
			loads.Set(0, fleet.KeyCount-1, 2e6)
			limits := placement.Limits{Policy: placement.Policy{Interleave: 24}}
			state.Apply(1, &fsm.Command{AssignRanges: placement.PlanRanges(state.View, "archive", nil, limits)})
			space := state.View.KeySpaces["archive"]
			next := space.Clone()
			next.Ranges[7].Phase = fleet.ShardRevoking
			moved := fleet.KeySpace(fleet.DiffKeySpaces(space, next))
			now := clock.Instant(time.Hour)
			core := executor.New(router.ID, "dc")
			core.SetView(now, &fleet.Change{Full: true, To: 1, Preset: state.View.Preset, KeySpaces: []fleet.KeySpace{*space}})
			core.Announce(now, router.Upstream)
			core.SetLease(now, 1, clock.Never, clock.Never)
			core.SetRangeLease(clock.Never)
			for b.Loop() {
				answer := core.Heartbeat(now, &executor.Heartbeat{Upstream: router.Upstream})
				assert.Assert(b, len(answer.Ranges) >= 6)
				core.Take()
			}
			for unit, command := range map[string]*fsm.Command{
				"command-bytes": {AssignRanges: &fsm.AssignRanges{Next: moved}}, "whole-command-bytes": {AssignRanges: &fsm.AssignRanges{Next: *next}},
				"kept-bytes": {KeepLoads: loads.Kept(state.View, "archive")},
			} {
				data, err := wire.EncodeCommand(command)
				assert.NilError(b, err)
				b.ReportMetric(float64(len(data)), unit)
			}
			full, err := wire.EncodeChange(&fleet.Change{Full: true, KeySpaces: []fleet.KeySpace{*space}})
			assert.NilError(b, err)
			b.ReportMetric(float64(len(full)), "view-bytes")
		})
	}
}
