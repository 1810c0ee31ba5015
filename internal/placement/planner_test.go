package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

const shards = 100

// testFleet is a fleet of one service. Plans are applied to its replicated
// state, and revoked shards are released at once.
type testFleet struct {
	t     *testing.T
	state *fsm.State
	// moves counts the grants of shards that had another owner before.
	moves int
	owner map[fleet.ShardID]fleet.RouterID
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, state: fsm.NewState(), owner: map[fleet.ShardID]fleet.RouterID{}}
	preset := &fleet.Preset{Services: []fleet.Service{{Name: "timetable", Shards: shards}}}
	f.apply(fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "p", Preset: preset}})
	return f
}

func (f *testFleet) apply(c fsm.Command) { f.state.Apply(0, &c) }

func (f *testFleet) join(name string, slots int) {
	up := fleet.Upstream{Name: name, Service: "timetable", Slots: slots}
	f.apply(fsm.Command{OpenSession: &fsm.OpenSession{Nonce: fmt.Sprint(name, f.state.LastSession), Router: fleet.Router{ID: fleet.RouterID(name), DataCentre: "lodz", Upstream: up}}})
}

func (f *testFleet) leave(name string) {
	session := f.state.View.Routers[fleet.RouterID(name)].Session
	f.apply(fsm.Command{CloseSessions: &fsm.CloseSessions{Sessions: []fleet.Session{session}}})
}

// converge applies plans until there is nothing left to do.
func (f *testFleet) converge(limits Limits) {
	for range 1000 {
		plan := Plan(f.state.View, limits)
		if plan.Empty() {
			return
		}
		assert.Assert(f.t, len(plan.Revokes) <= limits.MaxRebalancing)
		for _, grant := range plan.Grants {
			if last, ok := f.owner[grant.Shard]; ok && last != grant.Router {
				f.moves++
			}
			f.owner[grant.Shard] = grant.Router
		}
		f.apply(fsm.Command{Assign: plan})
		for _, id := range plan.Revokes {
			shard := f.state.View.Shard(id)
			f.apply(fsm.Command{ReleaseShards: &fsm.ReleaseShards{Session: shard.Session, Releases: []fsm.ShardRelease{{Shard: id, Epoch: shard.Epoch}}}})
		}
	}
	f.t.Fatal("plans do not converge")
}

func (f *testFleet) counts() map[string]int {
	counts := map[string]int{}
	for name := range f.state.View.Routers {
		counts[string(name)] = 0
	}
	for shard := range f.state.View.Shards.All() {
		if shard.Phase == fleet.ShardGranted {
			counts[string(shard.Owner)]++
		}
	}
	return counts
}

// TestRebalanceMovesAreMinimal lets upstreams of equal size join and leave at
// random. Each change must move no more shards than balance requires: those of
// the upstream that leaves, or the share of the one that joins.
func TestRebalanceMovesAreMinimal(t *testing.T) {
	total, least := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newTestFleet(t)
		f.join("first", 10)
		f.converge(Limits{MaxRebalancing: 8})
		for n := range 20 {
			before, moves := f.counts(), f.moves
			need := shards / (len(before) + 1)
			if len(before) > 1 && rng.IntN(2) == 0 {
				names := lo.Keys(before)
				slices.Sort(names)
				name := names[rng.IntN(len(names))]
				need = before[name]
				f.leave(name)
			} else {
				f.join(fmt.Sprint("server-", n), 10)
			}
			f.converge(Limits{MaxRebalancing: 8})
			assert.Assert(t, f.moves-moves == need, "seed %d step %d: %d moves, %d needed", seed, n, f.moves-moves, need)
			total, least = total+f.moves-moves, least+need
			for name, count := range f.counts() {
				size := len(f.counts())
				assert.Assert(t, count == shards/size || count == (shards+size-1)/size, "%s has %d of %d", name, count, shards)
			}
		}
	}
	t.Logf("moves %d, least possible %d", total, least)
}

func TestShardsAreProportionalToSlots(t *testing.T) {
	f := newTestFleet(t)
	f.join("small", 5)
	f.join("large", 15)
	f.converge(Limits{MaxRebalancing: 100})
	assert.DeepEqual(t, f.counts(), map[string]int{"small": 25, "large": 75})
}

// TestNoRebalancingWhileUpstreamsJoin checks that upstreams that join one by one
// cause no grants before the delay of the first grants has passed and no moves after,
// and that the shards of a lost upstream are granted even while others join.
func TestNoRebalancingWhileUpstreamsJoin(t *testing.T) {
	f := newTestFleet(t)
	joining := Limits{MaxRebalancing: 100, SuspendRebalancing: true, DelayFirstGrants: true}
	for n := range 4 {
		f.join(fmt.Sprint("server-", n), 10)
		f.converge(joining)
	}
	assert.Equal(t, len(f.owner), 0, "shards granted while the first upstreams are joining")
	f.converge(Limits{MaxRebalancing: 100})
	assert.Equal(t, f.moves, 0)
	f.join("server-5", 10)
	f.leave("server-0")
	f.converge(joining)
	assert.Equal(t, f.moves, 25, "shards of a lost upstream must be granted while others settle")
	assert.Equal(t, f.counts()["server-5"], 25)
}

// TestUpstreamOutOfServiceAndBack takes an upstream out of service and back:
// exactly its share of the shards moves away and back.
func TestUpstreamOutOfServiceAndBack(t *testing.T) {
	f := newTestFleet(t)
	for n := range 4 {
		f.join(fmt.Sprint("server-", n), 10)
	}
	f.converge(Limits{MaxRebalancing: 100})
	out := func(id string, out bool) {
		change := &fsm.OperatorChange{CommandID: id, Expected: f.state.View.Config, Upstream: &fleet.UpstreamSetting{Name: "server-0", Out: out}}
		f.apply(fsm.Command{OperatorChange: change})
		f.converge(Limits{MaxRebalancing: 100})
	}
	out("a", true)
	assert.Equal(t, f.counts()["server-0"], 0)
	assert.Equal(t, f.moves, 25)
	out("b", false)
	assert.Equal(t, f.counts()["server-0"], 25)
	assert.Equal(t, f.moves, 50)
}
