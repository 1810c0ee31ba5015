package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
	"endivespring/internal/session"
	"endivespring/internal/storage"
	"endivespring/internal/wire"

	"endivespring/internal/consensus"
)

var timing = lease.Timing{Ownership: time.Second, View: 3 * time.Second, Margin: 40 * time.Millisecond}

// newLeader returns a controller core that is leader with a lease that never expires.
func newLeader(state *fsm.State, now clock.Instant) *controller.Core {
	core := controller.New(timing, placement.Limits{MaxRebalancing: 16}, func(string) string { return "" })
	core.Restore(state)
	core.SetLeadership(now, controller.Leadership{IsLeader: true, Term: 1, LeaseUntil: clock.Never})
	core.Take()
	return core
}

// newLeaderOfOne returns a leader with the stream of router 0, whose session is 1. The
// router has applied the state's view and, if differences is set, understands those.
func newLeaderOfOne(state *fsm.State, now clock.Instant, differences bool) *controller.Core {
	core := newLeader(state, now)
	router := newRouter(0)
	router.Session = 1
	core.HandleRenewal(now, 1, &session.RouterMessage{Session: 1, Applied: state.View.Version, Router: router, Differences: differences})
	core.Take()
	return core
}

// BenchmarkRenewal measures the leader's processing of one session renewal, including
// encoding and decoding, and the bytes sent each way.
func BenchmarkRenewal(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d/shards=%d", size[0], size[1]), func(b *testing.B) {
			state := newFleet(size[0], size[1])
			core := newLeader(state, 1)
			var up, down, count int
			for b.Loop() {
				i := count % size[0]
				router := newRouter(i)
				router.Session = fleet.Session(i + 1)
				renewal := session.RouterMessage{Session: router.Session, Sequence: uint64(count), Applied: state.View.Version, Router: router, Nonce: fmt.Sprintf("nonce-%06d", i)}
				message := wire.FromUp(&renewal, "fleet")
				up += proto.Size(message)
				decoded := wire.ToUp(message)
				core.HandleRenewal(clock.Instant(count), controller.StreamID(i), &decoded)
				for _, send := range core.Take().Sends {
					change, err := wire.EncodeChange(send.Message.Change)
					assert.NilError(b, err)
					down += proto.Size(wire.FromDown(&send.Message, change))
				}
				count++
			}
			b.ReportMetric(float64(up)/float64(count), "up-B")
			b.ReportMetric(float64(down)/float64(count), "down-B")
		})
	}
}

// BenchmarkCommitBroadcast measures the leader's processing of one committed change
// with a session of every router: applying it and queueing the update on each stream.
func BenchmarkCommitBroadcast(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d/shards=%d", size[0], size[1]), func(b *testing.B) {
			state := newFleet(size[0], size[1])
			core := newLeader(state, 1)
			for i := range size[0] {
				router := newRouter(i)
				router.Session = fleet.Session(i + 1)
				core.HandleRenewal(1, controller.StreamID(i), &session.RouterMessage{Session: router.Session, Applied: state.View.Version, Router: router})
			}
			core.Take()
			out := 0
			for i := 0; b.Loop(); i++ {
				// Changes are 1 s apart, so that none is held back to be combined
				// with the next.
				core.ApplyCommitted(clock.Instant(i+1)*clock.Instant(time.Second), 1, &fsm.Command{OperatorChange: &fsm.OperatorChange{
					CommandID: fmt.Sprint(i), Expected: state.View.Config, DataCentre: &fleet.DataCentreSetting{Name: "dc-00", Out: i%2 == 0},
				}})
				out += len(core.Take().Sends)
			}
			b.ReportMetric(float64(out)/float64(b.N), "sends")
		})
	}
}

// BenchmarkPlan measures the placement plan of a fleet at rest, and of one that has
// lost a router.
func BenchmarkPlan(b *testing.B) {
	for _, size := range sizes {
		for _, lost := range []bool{false, true} {
			b.Run(fmt.Sprintf("routers=%d/shards=%d/lost=%v", size[0], size[1], lost), func(b *testing.B) {
				state := newFleet(size[0], size[1])
				if lost {
					state.Apply(0, &fsm.Command{CloseSessions: &fsm.CloseSessions{Sessions: []fleet.Session{1}}})
				}
				grants := 0
				for b.Loop() {
					grants = len(placement.Plan(state.View, placement.Limits{MaxRebalancing: 16}).Grants)
				}
				b.ReportMetric(float64(grants), "grants")
			})
		}
	}
}

// BenchmarkSnapshot measures the encoding of a snapshot: its time and size, and the
// heap memory of the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("routers=%d/shards=%d", size[0], size[1]), func(b *testing.B) {
			var state *fsm.State
			heap := heapBytes(func() *fsm.State { state = newFleet(size[0], size[1]); return state })
			var data []byte
			for b.Loop() {
				var err error
				data, err = wire.EncodeState(state)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "snapshot-B")
			b.ReportMetric(float64(heap), "heap-B")
		})
	}
}

// BenchmarkSyncedAppend measures one append of a batch of commands to the log, synced
// to disk.
func BenchmarkSyncedAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("commands=%d", batch), func(b *testing.B) {
			disk, _, err := storage.Open(b.TempDir(), "fleet", "control-1")
			assert.NilError(b, err)
			defer func() { _ = disk.Close() }()
			data, err := wire.EncodeCommand(&fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "command", Preset: newPreset(1600)}})
			assert.NilError(b, err)
			index := uint64(0)
			for b.Loop() {
				var entries []consensus.Entry
				for range batch {
					index++
					entries = append(entries, consensus.Entry{Index: index, Term: 1, Data: data})
				}
				assert.NilError(b, disk.Append(nil, entries))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/command")
		})
	}
}
