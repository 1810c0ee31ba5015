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

// interleavedState returns the state of a service with owners that hold interleaved pieces.
func interleavedState(tb testing.TB, owners int) (*fsm.State, *fsm.AssignRanges) {
	state := fsm.NewState()
	preset := &fleet.Preset{Services: []fleet.Service{{Name: "archive", Keyed: true, Ranged: true}}}
	state.Apply(1, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "p", Preset: preset}})
	for i := range owners {
		name := fmt.Sprintf("router-%03d", i)
		upstream := fleet.Upstream{Name: name, Service: "archive", Boot: fmt.Sprintf("5b0c7a1e-%08d", i), Slots: 9}
		state.Apply(1, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: name, Router: fleet.Router{ID: fleet.RouterID(name), Upstream: upstream}}})
	}
	assign := placement.PlanRanges(state.View, "archive", nil, placement.Limits{Policy: placement.Policy{Interleave: 24}})
	result, _ := state.Apply(1, &fsm.Command{AssignRanges: assign})
	assert.Assert(tb, result.Accepted, result.Reason)
	return state, assign
}

// BenchmarkRanges encodes the command of a plan, and reports the sizes of that command, of
// the key space in a full view, of the change of a move and of kept loads.
func BenchmarkRanges(b *testing.B) {
	for _, owners := range []int{39, 154} {
		b.Run(fmt.Sprint(owners), func(b *testing.B) {
			state, _ := interleavedState(b, owners)
			before := state.View.KeySpaces["archive"]
			next := before.Clone()
			next.Ranges[7].Phase = fleet.ShardRevoking
			whole := &fsm.Command{AssignRanges: &fsm.AssignRanges{Revision: before.Revision, Next: *next}}
			changed := fleet.KeySpace(fleet.DiffKeySpaces(before, next))
			command := &fsm.Command{AssignRanges: &fsm.AssignRanges{Revision: before.Revision, Next: changed}}
			var data []byte
			var err error
			for b.Loop() {
				data, err = wire.EncodeCommand(command)
			}
			assert.NilError(b, err)
			wholeData, err := wire.EncodeCommand(whole)
			assert.NilError(b, err)
			loads := placement.NewKeyLoads()
			loads.Set(0, fleet.KeyCount-1, 2e6)
			for _, router := range state.View.Routers {
				loads.AddRunTime(router.Upstream.Boot, 120*time.Millisecond)
				loads.AddLimit(router.Upstream.Boot, 9, 8)
			}
			keptData, err := wire.EncodeCommand(&fsm.Command{KeepLoads: loads.Kept(state.View, "archive")})
			assert.NilError(b, err)
			b.ReportMetric(float64(len(keptData)), "kept-bytes")
			full, err := wire.EncodeChange(&fleet.Change{Full: true, KeySpaces: []fleet.KeySpace{*before}})
			assert.NilError(b, err)
			move, err := wire.EncodeChange(&fleet.Change{KeySpaceChanges: []fleet.KeySpaceChange{fleet.DiffKeySpaces(before, next)}})
			assert.NilError(b, err)
			b.ReportMetric(float64(len(data)), "command-bytes")
			b.ReportMetric(float64(len(wholeData)), "whole-command-bytes")
			b.ReportMetric(float64(len(full)), "view-bytes")
			b.ReportMetric(float64(len(move)), "move-bytes")
		})
	}
}

// BenchmarkHeartbeat answers a heartbeat of one of the owners.
func BenchmarkHeartbeat(b *testing.B) {
	for _, owners := range []int{39, 154} {
		b.Run(fmt.Sprint(owners), func(b *testing.B) {
			state, _ := interleavedState(b, owners)
			now := clock.Instant(time.Hour)
			core := executor.New("router-005", "dc")
			upstream := state.View.Routers["router-005"].Upstream
			core.SetView(now, &fleet.Change{Full: true, To: 1, Preset: state.View.Preset, KeySpaces: []fleet.KeySpace{*state.View.KeySpaces["archive"]}})
			core.Announce(now, upstream)
			core.SetLease(now, 1, clock.Never, clock.Never)
			core.SetRangeLease(clock.Never)
			ranges := 0
			for b.Loop() {
				ranges = len(core.Heartbeat(now, &executor.Heartbeat{Upstream: upstream}).Ranges)
				core.Take()
			}
			b.ReportMetric(float64(ranges), "ranges")
		})
	}
}
