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

// sizes are the fleets measured: routers and shards.
var sizes = [][2]int{{100, 1600}, {400, 6400}, {1200, 19200}, {2400, 38400}}

// BenchmarkFullView measures the full view on the wire and at a router: bytes,
// the entry's memory and the time to take it.
func BenchmarkFullView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d/shards=%d", size[0], size[1]), func(b *testing.B) {
			full := fleetOf(size[0], size[1]).View.Full()
			data, err := proto.Marshal(wire.FromChange(full))
			assert.NilError(b, err)
			heap := heapOf(func() *gateway.Core {
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

// BenchmarkDelta measures a change that moves one shard: bytes on the wire and
// the time an entry takes for it.
func BenchmarkDelta(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d/shards=%d", size[0], size[1]), func(b *testing.B) {
			state := fleetOf(size[0], size[1])
			core := gateway.New(gateway.Settings{})
			assert.Assert(b, core.SetView(0, state.View.Full()))
			var bytes, changes int
			for b.Loop() {
				change := moveOne(state)
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

// moveOne revokes a shard, or releases or grants the one under way.
func moveOne(state *fsm.State) *fleet.Change {
	id := fleet.ShardID{Service: serviceName(0)}
	shard := state.View.Shard(id)
	command := &fsm.Command{}
	switch shard.Phase {
	case fleet.ShardGranted:
		command.Assign = &fsm.Assign{Revokes: []fleet.ShardID{id}}
	case fleet.ShardRevoking:
		command.ReleaseShards = &fsm.ReleaseShards{Session: shard.Session, Releases: []fsm.Release{{Shard: id, Epoch: shard.Epoch}}}
	default:
		command.Assign = &fsm.Assign{Grants: []fsm.Grant{{Shard: id, Router: routerOf(0).ID, Session: 1}}}
	}
	_, change := state.Apply(0, command)
	return change
}
