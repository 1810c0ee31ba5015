package capacity

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/gateway"
	"endivespring/internal/wire"
)

// sizes lists the sizes of fleets measured: routers and shards.
var sizes = [][2]int{{100, 1600}, {400, 6400}, {1200, 19200}, {2400, 38400}}

// BenchmarkFullView measures a full view: its encoded size, the memory of a gateway
// core that holds it, and the time that the core takes to apply it.
func BenchmarkFullView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d/shards=%d", size[0], size[1]), func(b *testing.B) {
			full := newFleet(size[0], size[1]).View.Full()
			data, err := proto.Marshal(wire.FromChange(full))
			assert.NilError(b, err)
			heap := heapBytes(func() *gateway.Core {
				core := gateway.New(gateway.Settings{})
				core.SetView(0, wire.ToChange(wire.FromChange(full)))
				return core
			})
			for b.Loop() {
				gateway.New(gateway.Settings{}).SetView(0, full)
			}
			b.ReportMetric(float64(len(data)), "wire-B")
			b.ReportMetric(float64(heap), "heap-B")
		})
	}
}

// BenchmarkDelta measures a view change that concerns one shard: its encoded size, and
// the time to make, encode and apply it.
func BenchmarkDelta(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d/shards=%d", size[0], size[1]), func(b *testing.B) {
			state := newFleet(size[0], size[1])
			core := gateway.New(gateway.Settings{})
			assert.Assert(b, core.SetView(0, state.View.Full()))
			var bytes, changes int
			for b.Loop() {
				change := advanceShard(state)
				data, err := proto.Marshal(wire.FromChange(change))
				assert.NilError(b, err)
				bytes += len(data)
				changes++
				assert.Assert(b, core.SetView(clock.Instant(changes), change))
			}
			b.ReportMetric(float64(bytes)/float64(changes), "wire-B")
		})
	}
}

// advanceShard puts shard 0 of service 0 into its next phase: it is revoked, released
// or granted, in turn.
func advanceShard(state *fsm.State) *fleet.Change {
	id := fleet.ShardID{Service: serviceName(0)}
	shard := state.View.Shard(id)
	command := &fsm.Command{}
	switch shard.Phase {
	case fleet.ShardGranted:
		command.Assign = &fsm.Assign{Revokes: []fleet.ShardID{id}}
	case fleet.ShardRevoking:
		command.ReleaseShards = &fsm.ReleaseShards{Session: shard.Session, Releases: []fsm.ShardRelease{{Shard: id, Epoch: shard.Epoch}}}
	default:
		command.Assign = &fsm.Assign{Grants: []fsm.Grant{{Shard: id, Router: newRouter(0).ID, Session: 1}}}
	}
	_, change := state.Apply(0, command)
	return change
}
