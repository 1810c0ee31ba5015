package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// rangedState returns the state of a fleet with one ranged service, whose keys are divided
// into ranges of two routers.
func rangedState(t *testing.T, ranges int) *fsm.State {
	t.Helper()
	state := fsm.NewState()
	preset := &fleet.Preset{Services: []fleet.Service{{Name: serviceName(0), Keyed: true, Ranged: true}}}
	state.Apply(0, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "preset", Preset: preset}})
	for i := range 2 {
		state.Apply(0, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: fmt.Sprint(i), Router: newRouter(i * services)}})
	}
	next := fleet.NewKeySpace(serviceName(0))
	width := uint32(fleet.KeyCount / ranges)
	for i := range uint32(ranges) {
		next.Split(i * width)
	}
	for i := range next.Ranges {
		grantRange(next, i, newRouter(i%2*services))
	}
	assign(t, state, next)
	return state
}

// grantRange grants a range under the next epoch.
func grantRange(space *fleet.KeySpace, i int, router fleet.Router) {
	space.LastEpoch++
	r := &space.Ranges[i]
	r.Phase, r.Owner, r.Boot, r.Epoch, r.Handover = fleet.ShardGranted, router.ID, router.Upstream.Boot, space.LastEpoch, "5c0e7a21d94b36f8"
}

func assign(t *testing.T, state *fsm.State, next *fleet.KeySpace) {
	t.Helper()
	command := assignCommand(state, next)
	result, _ := state.Apply(0, command)
	assert.Assert(t, result.Accepted, result.Reason)
}

func assignCommand(state *fsm.State, next *fleet.KeySpace) *fsm.Command {
	var revision uint64
	if space := state.View.KeySpaces[next.Service]; space != nil {
		revision = space.Revision
	}
	return &fsm.Command{AssignRanges: &fsm.AssignRanges{Revision: revision, Next: *next}}
}

// Guards against changes of the configuration that wait behind changes of key ranges on a
// router's link: each move of one range sent all ranges of its service to every router,
// 10 KB with 130 ranges, up to 15 times a second.
func TestChangeOfOneRangeIsSmall(t *testing.T) {
	const changes = 20
	for _, understood := range []bool{true, false} {
		for _, ranges := range []int{16, 128, 2048} {
			state := rangedState(t, ranges)
			core := newLeaderOfOne(state, 1, understood)
			view := state.View.Clone()
			received := 0
			for i := range changes {
				next := state.View.KeySpaces[serviceName(0)].Clone()
				grantRange(next, i%ranges, newRouter((i+1)%2*services))
				core.ApplyCommitted(clock.Instant(i+1)*clock.Instant(time.Second), 1, assignCommand(state, next))
				received += applyBroadcast(t, core, view, understood)
			}
			t.Logf("understood=%v: %d bytes a change of one in %d ranges", understood, received/changes, ranges)
			assert.DeepEqual(t, view.KeySpaces, state.View.KeySpaces)
			if understood {
				assert.Assert(t, received/changes <= maxBytesPerChange, "%d ranges: %d bytes a change", ranges, received/changes)
			}
		}
	}
}
