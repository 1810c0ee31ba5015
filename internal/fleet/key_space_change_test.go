package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// nextKeySpace returns a later revision: some ranges are split, and some have another
// owner.
func nextKeySpace(random *rand.Rand, s *KeySpace) *KeySpace {
	next := s.Clone()
	next.Revision++
	for range random.IntN(4) {
		next.Split(random.Uint32N(KeyCount))
	}
	for i := range next.Ranges {
		if random.IntN(3) == 0 {
			next.LastEpoch++
			r := &next.Ranges[i]
			*r = KeyRange{First: r.First, Last: r.Last, Phase: ShardGranted, Owner: RouterID(fmt.Sprint(random.IntN(3))), Epoch: next.LastEpoch / 3}
		}
	}
	next.Normalize()
	return next
}

// Guards against key spaces that differ between control and routers: a chain of
// differences must lead to the same ranges as the key space itself.
func TestKeySpaceChangesLeadToTheSameKeySpace(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		spaces := []*KeySpace{NewKeySpace("s")}
		var changes []*Change
		for version := range Version(6) {
			latest := spaces[len(spaces)-1]
			next := nextKeySpace(random, latest)
			difference := DiffKeySpaces(latest, next)
			assert.Check(t, cmp.DeepEqual(difference.Apply(latest), next), "seed %d", seed)
			assert.Check(t, next.Valid())
			changes = append(changes, &Change{From: version, To: version + 1, KeySpaceChanges: []KeySpaceChange{difference}})
			spaces = append(spaces, next)
		}
		for _, view := range mergedViews(t, changes, random.IntN(len(changes))) {
			assert.Check(t, cmp.DeepEqual(view.KeySpaces["s"], spaces[len(spaces)-1]), "seed %d", seed)
		}
	}
}
