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

// bench is a fleet of one service on which plans are carried out.
type bench struct {
	t     *testing.T
	state *fsm.State
	// moves counts grants of shards that had another owner.
	moves int
	owner map[fleet.ShardID]fleet.RouterID
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, state: fsm.NewState(), owner: map[fleet.ShardID]fleet.RouterID{}}
	preset := &fleet.Preset{Services: []fleet.Service{{Name: "timetable", Shards: shards}}}
	b.apply(fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "p", Preset: preset}})
	return b
}

func (b *bench) apply(c fsm.Command) { b.state.Apply(0, &c) }

func (b *bench) join(name string, slots int) {
	up := fleet.Upstream{Name: name, Service: "timetable", Slots: slots}
	b.apply(fsm.Command{OpenSession: &fsm.OpenSession{Nonce: fmt.Sprint(name, b.state.LastSession), Router: fleet.Router{ID: fleet.RouterID(name), DataCentre: "lodz", Upstream: up}}})
}

func (b *bench) leave(name string) {
	session := b.state.View.Routers[fleet.RouterID(name)].Session
	b.apply(fsm.Command{CloseSessions: &fsm.CloseSessions{Sessions: []fleet.Session{session}}})
}

// settle carries plans out until there is nothing left to do.
func (b *bench) settle(limits Limits) {
	for range 1000 {
		plan := Plan(b.state.View, limits)
		if plan.Empty() {
			return
		}
		assert.Assert(b.t, len(plan.Revokes) <= limits.MaxRebalancing)
		for _, grant := range plan.Grants {
			if last, ok := b.owner[grant.Shard]; ok && last != grant.Router {
				b.moves++
			}
			b.owner[grant.Shard] = grant.Router
		}
		b.apply(fsm.Command{Assign: plan})
		for _, id := range plan.Revokes {
			shard := b.state.View.Shard(id)
			b.apply(fsm.Command{ReleaseShards: &fsm.ReleaseShards{Session: shard.Session, Releases: []fsm.Release{{Shard: id, Epoch: shard.Epoch}}}})
		}
	}
	b.t.Fatal("plans never end")
}

func (b *bench) counts() map[string]int {
	counts := map[string]int{}
	for name := range b.state.View.Routers {
		counts[string(name)] = 0
	}
	for shard := range b.state.View.Shards.All() {
		if shard.Phase == fleet.ShardGranted {
			counts[string(shard.Owner)]++
		}
	}
	return counts
}

// TestFewestMoves lets servers of equal size come and go and compares the moves
// of each change with the least that balance needs: what the server that leaves
// had, or what one that comes must get.
func TestFewestMoves(t *testing.T) {
	total, least := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := newBench(t)
		b.join("first", 10)
		b.settle(Limits{MaxRebalancing: 8})
		for n := range 20 {
			before, moves := b.counts(), b.moves
			need := shards / (len(before) + 1)
			if len(before) > 1 && rng.IntN(2) == 0 {
				names := lo.Keys(before)
				slices.Sort(names)
				name := names[rng.IntN(len(names))]
				need = before[name]
				b.leave(name)
			} else {
				b.join(fmt.Sprint("server-", n), 10)
			}
			b.settle(Limits{MaxRebalancing: 8})
			assert.Assert(t, b.moves-moves == need, "seed %d step %d: %d moves, %d needed", seed, n, b.moves-moves, need)
			total, least = total+b.moves-moves, least+need
			for name, count := range b.counts() {
				size := len(b.counts())
				assert.Assert(t, count == shards/size || count == (shards+size-1)/size, "%s has %d of %d", name, count, shards)
			}
		}
	}
	t.Logf("moves %d, least possible %d", total, least)
}

func TestShardsFollowSlots(t *testing.T) {
	b := newBench(t)
	b.join("small", 5)
	b.join("large", 15)
	b.settle(Limits{MaxRebalancing: 100})
	assert.DeepEqual(t, b.counts(), map[string]int{"small": 25, "large": 75})
}

// TestNoMovesWhileSettling lets servers announce themselves one by one.
func TestNoMovesWhileSettling(t *testing.T) {
	b := newBench(t)
	settling := Limits{MaxRebalancing: 100, Settling: true, Starting: true}
	for n := range 4 {
		b.join(fmt.Sprint("server-", n), 10)
		b.settle(settling)
	}
	assert.Equal(t, len(b.owner), 0, "nothing is granted before the first servers have joined")
	b.settle(Limits{MaxRebalancing: 100})
	assert.Equal(t, b.moves, 0)
	b.join("server-5", 10)
	b.leave("server-0")
	b.settle(settling)
	assert.Equal(t, b.moves, 25, "a lost server's shards do not wait")
	assert.Equal(t, b.counts()["server-5"], 25)
}

// TestDataCentreOut takes every server of a data centre out and back.
func TestDataCentreOut(t *testing.T) {
	b := newBench(t)
	for n := range 4 {
		b.join(fmt.Sprint("server-", n), 10)
	}
	b.settle(Limits{MaxRebalancing: 100})
	out := func(id string, out bool) {
		change := &fsm.OperatorChange{CommandID: id, Expected: b.state.View.Config, Upstream: &fleet.UpstreamSetting{Name: "server-0", Out: out}}
		b.apply(fsm.Command{OperatorChange: change})
		b.settle(Limits{MaxRebalancing: 100})
	}
	out("a", true)
	assert.Equal(t, b.counts()["server-0"], 0)
	assert.Equal(t, b.moves, 25)
	out("b", false)
	assert.Equal(t, b.counts()["server-0"], 25)
	assert.Equal(t, b.moves, 50)
}
