package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// rangeStage is a replicated state with routers beside upstreams of one service
// that hold ranges of keys.
type rangeStage struct {
	state *fsm.State
	loads *KeyLoads
}

func newRangeStage(t *testing.T, upstreams int) *rangeStage {
	s := &rangeStage{state: fsm.NewState(), loads: NewKeyLoads()}
	preset := &fleet.Preset{Services: []fleet.Service{{Name: "s", Keyed: true, Ranged: true}}}
	result, _ := s.state.Apply(1, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "p", Preset: preset}})
	assert.Assert(t, result.Accepted)
	for i := range upstreams {
		s.open(i, "b")
	}
	return s
}

func (s *rangeStage) open(i int, boot string) {
	name := fmt.Sprintf("r%02d", i)
	s.state.Apply(1, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: name + boot, Router: fleet.Router{
		ID: fleet.RouterID(name), DataCentre: fleet.DataCentre(fmt.Sprint("d", i%3)),
		Upstream: fleet.Upstream{Name: name, Service: "s", Boot: boot + name, Slots: 9},
	}}})
}

// plan applies plans, and gives back what they ask for, until nothing is left
// to do. It returns the number of plans.
func (s *rangeStage) plan(t *testing.T) int {
	t.Helper()
	for plans := range 100 {
		assign := PlanRanges(s.state.View, "s", s.loads, Limits{})
		if assign == nil {
			return plans
		}
		before := s.state.View.KeySpaces["s"]
		result, _ := s.state.Apply(1, &fsm.Command{AssignRanges: assign})
		assert.Assert(t, result.Accepted, result.Reason)
		s.check(t, before)
		s.giveBack()
	}
	t.Fatal("plans without end")
	return 0
}

func (s *rangeStage) giveBack() {
	for _, r := range s.state.View.KeySpaces["s"].Ranges {
		if r.Phase == fleet.ShardRevoking {
			s.state.Apply(1, &fsm.Command{ReleaseRanges: &fsm.ReleaseRanges{
				Service: "s", Router: r.Owner, Boot: r.Boot,
				Releases: []fsm.RangeRelease{{First: r.First, Last: r.Last, Epoch: r.Epoch, Handover: "h"}},
			}})
		}
	}
}

// check compares a key space with the one before: every key has one range, and
// changes hands only through nobody's and with a higher epoch.
func (s *rangeStage) check(t *testing.T, before *fleet.KeySpace) {
	t.Helper()
	after := s.state.View.KeySpaces["s"]
	assert.Assert(t, after.Whole())
	if before == nil {
		return
	}
	for key := uint32(0); key < fleet.Keys; key += 13 {
		was, is := before.Find(key), after.Find(key)
		if was.Phase != fleet.ShardFree {
			assert.Assert(t, is.HeldBy(was.Owner, was.Boot) && is.Epoch == was.Epoch, "key %d went from %+v to %+v", key, was, is)
		} else if is.Phase != fleet.ShardFree {
			assert.Assert(t, is.Epoch > before.LastEpoch && is.Epoch <= after.LastEpoch)
		}
	}
}

func (s *rangeStage) shares() map[fleet.RouterID]float64 {
	shares := map[fleet.RouterID]float64{}
	for _, r := range s.state.View.KeySpaces["s"].Ranges {
		shares[r.Owner] += s.loads.Of(r.First, r.Last)
	}
	return shares
}

// TestBusyNeighboursAreDividedByLoad loads keys by a steep law around one key:
// no upstream has much more than its share, and few keys move.
func TestBusyNeighboursAreDividedByLoad(t *testing.T) {
	s := newRangeStage(t, 6)
	s.plan(t)
	for i := range uint32(2000) {
		s.loads.Set(30000+i, 30000+i, 24/float64(1+i))
	}
	plans := s.plan(t)
	assert.Assert(t, plans <= 12, "%d rounds", plans)
	shares := s.shares()
	target := s.loads.Of(0, fleet.Keys-1) / 6
	for owner, share := range shares {
		assert.Assert(t, share <= 1.6*target, "%s has %.0f%% of its share", owner, 100*share/target)
	}
	assert.Assert(t, len(s.state.View.KeySpaces["s"].Ranges) <= maxRangesPerOwner*6)
}

// TestOneKeyAboveOneUpstreamStays loads one key with more than any upstream's
// share: it is not moved in circles.
func TestOneKeyAboveOneUpstreamStays(t *testing.T) {
	s := newRangeStage(t, 4)
	s.plan(t)
	s.loads.Set(500, 500, 100)
	s.loads.Set(40000, 40999, 60)
	s.plan(t)
	owner := s.state.View.KeySpaces["s"].Find(500).Owner
	for range 5 {
		assert.Equal(t, s.plan(t), 0)
	}
	assert.Equal(t, s.state.View.KeySpaces["s"].Find(500).Owner, owner)
}

// TestFasterUpstreamsGetMore tells of upstreams that differ in speed.
func TestFasterUpstreamsGetMore(t *testing.T) {
	s := newRangeStage(t, 3)
	for range 30 {
		s.loads.Ran("br00", 50)
		s.loads.Ran("br01", 100)
		s.loads.Ran("br02", 150)
	}
	s.plan(t)
	shares := s.shares()
	assert.Assert(t, shares["r00"] > 1.8*shares["r01"] && shares["r01"] > 1.3*shares["r02"], "%v", shares)
}

// TestRangesUnderChanges takes routers, starts of upstreams and data centres
// away and back at random: every plan keeps to the rules, and all keys that can
// have a holder get one.
func TestRangesUnderChanges(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newRangeStage(t, 6)
		for step := range 30 {
			i := random.IntN(6)
			switch random.IntN(4) {
			case 0:
				if router, ok := s.state.View.Routers[fleet.RouterID(fmt.Sprintf("r%02d", i))]; ok {
					s.state.Apply(1, &fsm.Command{CloseSessions: &fsm.CloseSessions{Term: 1, Sessions: []fleet.Session{router.Session}}})
				}
			case 1:
				s.open(i, fmt.Sprint("b", step))
			case 2:
				s.state.Apply(1, &fsm.Command{OperatorChange: &fsm.OperatorChange{
					CommandID: fmt.Sprint(step), Unconditional: true,
					DataCentre: &fleet.DataCentreSetting{Name: fleet.DataCentre(fmt.Sprint("d", i%3)), Out: random.IntN(2) == 0},
				}})
			default:
				first := random.Uint32N(60000)
				s.loads.Set(first, first+random.Uint32N(2000), float64(random.IntN(200)))
			}
			s.plan(t)
		}
		for i := range 3 {
			s.state.Apply(1, &fsm.Command{OperatorChange: &fsm.OperatorChange{
				CommandID: fmt.Sprint("in", i), Unconditional: true, DataCentre: &fleet.DataCentreSetting{Name: fleet.DataCentre(fmt.Sprint("d", i))},
			}})
			s.open(i, "last")
		}
		s.plan(t)
		for _, r := range s.state.View.KeySpaces["s"].Ranges {
			assert.Equal(t, r.Phase, fleet.ShardGranted, "seed %d: %+v", seed, r)
		}
	}
}

// TestRestartedRouterKeepsItsRanges opens a session of a router that does not
// know its upstream yet: nothing is asked back.
func TestRestartedRouterKeepsItsRanges(t *testing.T) {
	s := newRangeStage(t, 3)
	s.plan(t)
	s.state.Apply(1, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "again", Router: fleet.Router{ID: "r01"}}})
	assert.Equal(t, s.plan(t), 0)
}
