package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// shrinkPlans bounds the plans until all keys are held again. A plan takes a heartbeat or two.
const shrinkPlans = 4

// setLeaving makes an upstream drain.
func (f *rangeFixture) setLeaving(i int) {
	router := f.state.View.Routers[routerID(i)]
	router.Leaving = true
	f.state.Apply(1, &fsm.Command{UpdateRouter: &fsm.UpdateRouter{Router: router}})
}

// step applies one plan, if there is any, and then releases what is revoked, each range with a
// handover of its own.
func (f *rangeFixture) step(t *testing.T) {
	t.Helper()
	before := f.state.View.KeySpaces["s"]
	if assign := PlanRanges(f.state.View, "s", f.loads, f.limits); assign != nil {
		result, _ := f.state.Apply(1, &fsm.Command{AssignRanges: assign})
		assert.Assert(t, result.Accepted, result.Reason)
		f.checkInvariants(t, before)
	}
	for owner, count := range f.grantedOf() {
		assert.Assert(t, owner == "" || count <= fleet.MaxOwnerRanges, "%s has %d ranges", owner, count)
	}
	for _, r := range f.state.View.KeySpaces["s"].Ranges {
		if r.Phase == fleet.ShardRevoking {
			f.state.Apply(1, &fsm.Command{ReleaseRanges: &fsm.ReleaseRanges{
				Service: "s", Router: r.Owner, Boot: r.Boot,
				Releases: []fsm.RangeRelease{{First: r.First, Last: r.Last, Epoch: r.Epoch, Handover: fmt.Sprint("h", r.First)}},
			}})
		}
	}
}

// grantedOf returns the number of granted ranges of each owner, and that of all others under an
// empty owner.
func (f *rangeFixture) grantedOf() map[fleet.RouterID]int {
	counts := map[fleet.RouterID]int{}
	for _, r := range f.state.View.KeySpaces["s"].Ranges {
		if r.Phase == fleet.ShardGranted {
			counts[r.Owner]++
		} else {
			counts[""]++
		}
	}
	return counts
}

// Guards against an owner with more ranges than an answer to a heartbeat has room for, and
// against keys that stay without an owner for that reason: a service shrinks from six upstreams to one.
func TestShrinkingServiceKeepsAllKeys(t *testing.T) {
	for _, policy := range []Policy{{}, {Interleave: 24, ByCapacity: true}, {Interleave: 24}} {
		for _, atOnce := range []bool{false, true} {
			t.Run(fmt.Sprintf("%+v at once: %v", policy, atOnce), func(t *testing.T) {
				f := newSpreadFixture(t, 6, policy)
				f.setDenseRegion(300)
				f.converge(t)
				for i := 5; i > 0; i-- {
					f.setLeaving(i)
					for range shrinkPlans {
						if !atOnce {
							f.step(t)
						}
					}
					assert.Assert(t, atOnce || f.grantedOf()[""] == 0, "%d ranges are not held, %d upstreams", f.grantedOf()[""], i)
				}
				for range shrinkPlans {
					f.step(t)
				}
				assert.Equal(t, f.grantedOf()[""], 0)
				assert.Assert(t, f.rangesOf()["r00"] == len(f.state.View.KeySpaces["s"].Ranges))
			})
		}
	}
}

// Guards against the same when all upstreams of a service are replaced, and the first new one is
// alone for a while.
func TestReplacedUpstreamsHoldAllKeys(t *testing.T) {
	f := newSpreadFixture(t, 6, Policy{Interleave: 24, ByCapacity: true})
	f.setDenseRegion(300)
	f.converge(t)
	for i := range 6 {
		f.setLeaving(i)
	}
	f.openSession(6, "n")
	for range shrinkPlans {
		f.step(t)
	}
	assert.Equal(t, f.grantedOf()[""], 0)
	for i := 7; i < 12; i++ {
		f.openSession(i, "n")
		f.step(t)
	}
	for range 4 * shrinkPlans {
		f.step(t)
	}
	counts := f.grantedOf()
	assert.Equal(t, counts[""], 0)
	for i := range 6 {
		assert.Assert(t, counts[routerID(6+i)] > 0, "%v", counts)
	}
}

// A key space of an earlier build, in which an owner has too many ranges, is put in order.
func TestOwnerWithTooManyRangesGivesSome(t *testing.T) {
	f := newSpreadFixture(t, 1, Policy{Interleave: 24, ByCapacity: true})
	f.converge(t)
	f.openSession(1, "b")
	space := fleet.NewKeySpace("s")
	space.Ranges = nil
	const pieces = 2 * fleet.MaxOwnerRanges
	for i := range pieces {
		space.LastEpoch++
		space.Ranges = append(space.Ranges, fleet.KeyRange{
			First: uint32(i * fleet.KeyCount / pieces), Last: uint32((i+1)*fleet.KeyCount/pieces - 1), Phase: fleet.ShardGranted, Owner: "r00", Boot: "br00", Epoch: space.LastEpoch,
		})
	}
	space.Revision = 9
	f.state.View.KeySpaces["s"] = space
	for range shrinkPlans {
		f.step(t)
	}
	assert.Equal(t, f.grantedOf()[""], 0)
}
