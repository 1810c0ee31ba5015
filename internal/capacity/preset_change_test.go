package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/wire"
)

// maxBytesPerChange is what a node may receive for one change when changes come every
// 0.33 s, within the 2 KB/s that control may use.
const maxBytesPerChange = 2048 / 3

// numberedRoutes returns a numbered preset with many routes to one service.
func numberedRoutes(routes int) *fleet.Preset {
	p := newPreset(16)
	p.Number = 1
	for i := range routes {
		p.Routes = append(p.Routes, fleet.Route{
			Name: fmt.Sprintf("r-%06d", i), Host: "jepu9.example", Prefix: fmt.Sprintf("/xapu221/%06d/", i), Timeout: time.Second,
			Objective: 400 * time.Millisecond, MaxUpstreams: 2, Targets: []fleet.Target{{Service: serviceName(0)}},
		})
	}
	return p
}

// Guards against configurations whose changes fill the routers' links: each change sent
// the whole configuration to every router, 101 KB with 1,400 routes, so that changes in
// quick succession were in force later and later.
func TestChangeOfOneRouteIsSmall(t *testing.T) {
	const changes = 20
	for _, replaced := range []bool{false, true} {
		for _, understood := range []bool{true, false} {
			t.Run(fmt.Sprintf("replaced=%v/understood=%v", replaced, understood), func(t *testing.T) {
				state := newFleet(4, 16)
				preset := numberedRoutes(1400)
				state.Apply(0, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "routes", Preset: preset}})
				core := newLeaderOfOne(state, 1, understood)

				view := state.View.Clone()
				received := 0
				for i := range changes {
					route := preset.Routes[i]
					route.Timeout = 2 * time.Second
					change := &fsm.OperatorChange{CommandID: fmt.Sprint("change", i), Amendment: &fsm.Amendment{
						Number: uint64(i + 2), Base: uint64(i + 1), Routes: []fleet.Route{route},
					}}
					if replaced {
						next := *state.View.Preset
						next.Number, next.Base = uint64(i+2), uint64(i+1)
						next.Routes = append([]fleet.Route(nil), next.Routes...)
						next.Routes[i] = route
						change.Preset, change.Amendment = &next, nil
					}
					core.ApplyCommitted(clock.Instant(i+1)*clock.Instant(time.Second), 1, &fsm.Command{OperatorChange: change})
					received += applyBroadcast(t, core, view, understood)
				}
				assert.DeepEqual(t, view.Preset, state.View.Preset)
				t.Logf("%d bytes a change", received/changes)
				if understood {
					assert.Assert(t, received/changes <= maxBytesPerChange, "%d bytes a change", received/changes)
				}
			})
		}
	}
}

// applyBroadcast applies the changes that a leader sends, as encoded, to a router's view,
// and returns their size in bytes. They have differences only if those are understood.
func applyBroadcast(t *testing.T, core *controller.Core, view *fleet.View, understood bool) (bytes int) {
	t.Helper()
	for _, send := range core.Take().Sends {
		data, err := wire.EncodeChange(send.Message.Change)
		assert.NilError(t, err)
		bytes += len(data)
		message := wire.FromDown(&send.Message, data)
		assert.Assert(t, proto.Size(message) >= len(data))
		down, err := wire.ToDown(message)
		assert.NilError(t, err)
		assert.Assert(t, understood || down.Change.PresetChange == nil && len(down.Change.KeySpaceChanges) == 0)
		assert.Assert(t, view.Apply(down.Change))
	}
	return bytes
}
