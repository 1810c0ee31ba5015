package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

func granted(number uint32, owner RouterID, epoch Epoch) Shard {
	return Shard{ID: ShardID{Service: "s", Number: number}, Phase: ShardGranted, Owner: owner, Session: 1, Epoch: epoch}
}

func TestApplyRejectsChangesOutOfSequence(t *testing.T) {
	v := NewView()
	assert.Assert(t, v.Apply(&Change{From: 0, To: 1, Shards: []Shard{granted(3, "a", 1), granted(1, "b", 1)}}))
	assert.Assert(t, !v.Apply(&Change{From: 0, To: 1}), "change from an older version")
	assert.Assert(t, !v.Apply(&Change{From: 2, To: 3}), "change from a later version")
	assert.Assert(t, !v.Apply(&Change{Full: true, To: 0}), "full change to an older version")
	assert.Assert(t, v.Apply(&Change{From: 1, To: 2, DataCentres: []DataCentreSetting{{Name: "d", Out: true}}}))
	assert.Equal(t, v.Version, Version(2))
	assert.Assert(t, v.DataCentresOut["d"])
}

func TestFullChangeRebuildsTheView(t *testing.T) {
	v := NewView()
	free := Shard{ID: ShardID{Service: "s", Number: 2}, Epoch: 7}
	v.Merge(&Change{Config: 4, Shards: []Shard{granted(3, "a", 1), granted(1, "b", 9), free}, Routers: []Router{{ID: "b"}, {ID: "a"}}, Upstreams: []UpstreamSetting{{Name: "u", Out: true}}})
	v.Version = 12
	rebuilt := NewView()
	assert.Assert(t, rebuilt.Apply(v.Full()))
	assert.DeepEqual(t, rebuilt.Full(), v.Full())
	assert.DeepEqual(t, v.Full().Shards, []Shard{granted(1, "b", 9), free, granted(3, "a", 1)})
	assert.Equal(t, rebuilt.Shard(ShardID{Service: "s", Number: 99}).Phase, ShardFree)
	clone := v.Clone()
	clone.Merge(&Change{Shards: []Shard{granted(1, "c", 10)}})
	assert.Equal(t, v.Shard(ShardID{Service: "s", Number: 1}).Owner, RouterID("b"))
}
