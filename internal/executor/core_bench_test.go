package executor

import (
	"strconv"
	"testing"
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const benchShards = 65536 // shards in the view

func benchCore() (*Core, clock.Instant) {
	now := clock.Instant(time.Hour)
	c := New("self", "dc")
	c.Announce(now, fleet.Upstream{Name: "u", Service: "s", Boot: "1", Slots: 64, ColdSlots: 64})
	full := &fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{Services: []fleet.Service{{Name: "s", Shards: benchShards, QueueLimit: 4096, RecordWindow: time.Minute}}}}
	for n := range uint32(benchShards) {
		full.Shards = append(full.Shards, fleet.Shard{ID: fleet.ShardID{Service: "s", Number: n}, Phase: fleet.ShardGranted, Owner: "self", Session: fleet.Session(1 + n%16), Epoch: 1})
	}
	c.SetView(now, full)
	c.SetLease(now, 1, now.Add(time.Hour), now.Add(time.Hour))
	return c, now
}

// BenchmarkViewChange applies a change of one shard.
func BenchmarkViewChange(b *testing.B) {
	c, now := benchCore()
	for i := range b.N {
		v := fleet.Version(i + 1)
		c.SetView(now, &fleet.Change{From: v, To: v + 1, Shards: []fleet.Shard{{ID: fleet.ShardID{Service: "s"}, Phase: fleet.ShardGranted, Session: 1, Epoch: fleet.Epoch(i + 2)}}})
	}
}

// BenchmarkCall admits and completes a lookup while some 4,000 others are
// queued.
func BenchmarkCall(b *testing.B) {
	c, now := benchCore()
	submit := func(i int) {
		c.Submit(now, Ticket{Number: uint64(i)}, call.Call{Number: uint64(i), RequestID: strconv.Itoa(i), Service: "s", Sharded: true, Idempotent: true, Deadline: now.Add(time.Minute)})
	}
	for i := range 4000 {
		submit(i)
	}
	runs := c.Take().Runs
	b.ReportAllocs()
	for i := range b.N {
		submit(4000 + i)
		run := runs[0]
		c.Complete(now, Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, verdict.Ran, ""), Health: admission.Good})
		_ = c.Deadline()
		c.Tick(now)
		runs = append(runs[1:], c.Take().Runs...)
	}
}
