package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/wire"
)

const (
	// linkBytesPerSecond is what a link of 3.8 Mbit/s carries, and controlShare the part
	// of it that requests leave to control.
	linkBytesPerSecond = 3_800_000 / 8
	controlShare       = 0.5
	// changeInterval is the time between changes in quick succession, and applyLimit the
	// time in which each must be in force.
	changeInterval = 330 * time.Millisecond
	applyLimit     = 2 * time.Second
)

// Guards against a change that is accepted and not in force in time: with many routes,
// changes in quick succession queued on the routers' links, each later than the one before.
func TestChangesInQuickSuccessionArriveInTime(t *testing.T) {
	const changes = 30
	state := newFleet(4, 16)
	preset := numberedRoutes(1400)
	state.Apply(0, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "routes", Preset: preset}})
	now := clock.Instant(time.Second)
	core := newLeaderOfOne(state, now, true)

	view := state.View.Clone()
	linkFreeAt, latest := now, time.Duration(0)
	for i := range changes {
		now = now.Add(changeInterval)
		route := preset.Routes[i]
		route.Timeout = 2 * time.Second
		core.ApplyCommitted(now, 1, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: fmt.Sprint("change", i), Amendment: &fsm.Amendment{
			Number: uint64(i + 2), Base: uint64(i + 1), Routes: []fleet.Route{route},
		}}})
		for _, send := range core.Take().Sends {
			data, err := wire.EncodeChange(send.Message.Change)
			assert.NilError(t, err)
			transfer := time.Duration(float64(len(data)) / (linkBytesPerSecond * controlShare) * float64(time.Second))
			linkFreeAt = max(linkFreeAt, now).Add(transfer)
			assert.Assert(t, view.Apply(send.Message.Change))
		}
		assert.Equal(t, view.Config, state.View.Config)
		latest = max(latest, linkFreeAt.Sub(now))
	}
	assert.Assert(t, latest <= applyLimit, "the latest change arrived after %v", latest)
}
