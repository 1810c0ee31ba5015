package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMergedChangeHasTheSameEffect applies random changes one by one to one
// view, and merged from a random point on to another.
func TestMergedChangeHasTheSameEffect(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		stepwise, merged := NewView(), NewView()
		var changes []*Change
		for range 20 {
			changes = append(changes, randomChange(random, Version(len(changes))))
		}
		start := random.IntN(len(changes))
		for i, c := range changes {
			assert.Assert(t, stepwise.Apply(c))
			if i < start {
				assert.Assert(t, merged.Apply(c))
			}
		}
		assert.Assert(t, merged.Apply(MergeChanges(changes[start:])), "seed %d", seed)
		assert.DeepEqual(t, merged.Full(), stepwise.Full())
	}
}

func randomChange(random *rand.Rand, from Version) *Change {
	c := &Change{From: from, To: from + 1, Config: from / 3}
	id := RouterID(fmt.Sprint(random.IntN(4)))
	switch random.IntN(5) {
	case 0:
		c.Routers = []Router{{ID: id, Session: Session(from)}}
	case 1:
		c.Removed = []RouterID{id}
	case 2:
		c.Shards = []Shard{granted(uint32(random.IntN(4)), id, Epoch(from+1))}
	case 3:
		c.DataCentres = []DataCentreSetting{{Name: "d", Out: random.IntN(2) == 0}}
		c.Upstreams = []UpstreamSetting{{Name: "u", Out: random.IntN(2) == 0}}
	default:
		c.Preset = &Preset{Version: from}
	}
	return c
}

// mergedViews returns two views to which changes were applied: one by one up to start and
// merged from there, and merged with the full view that those before start lead to.
func mergedViews(t *testing.T, changes []*Change, start int) []*View {
	t.Helper()
	view, fromFull := NewView(), NewView()
	for _, change := range changes[:start] {
		assert.Assert(t, view.Apply(change))
	}
	full := view.Full()
	assert.Assert(t, view.Apply(MergeChanges(changes[start:])))
	assert.Assert(t, fromFull.Apply(MergeChanges(append([]*Change{full}, changes[start:]...))))
	return []*View{view, fromFull}
}
