package executor

import (
	"testing"
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// benchSubmit submits and completes a call while 512 of four operations are queued.
func benchSubmit(b *testing.B, settings LoadSettings) {
	now := clock.Instant(time.Hour)
	c := New("self", "dc")
	c.SetLoad(settings)
	c.Announce(now, fleet.Upstream{Name: "u", Service: "s", Boot: "1", Slots: 18, ColdSlots: 18})
	c.SetView(now, &fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{Services: []fleet.Service{{Name: "s", QueueLimit: maxQueued}}}})
	c.SetLease(now, 1, clock.Never, clock.Never)
	names := [4]string{"a", "b", "c", "d"}
	submit := func(i int) {
		c.Submit(now, Ticket{Number: uint64(i)}, call.Call{
			Number: uint64(i), RequestID: "r", Service: "s", Operation: names[i%4], Method: "GET", Idempotent: true, Priority: i % 4 / 2,
			Deadline: now.Add(time.Duration(3600+i%4) * time.Second), Objective: now.Add(time.Hour),
		})
	}
	for i := range maxQueued + 18 {
		submit(i)
	}
	runs := c.Take().Runs
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		submit(maxQueued + 18 + i)
		run := runs[0]
		c.Complete(now, Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, verdict.Ran, ""), Health: admission.Good})
		_ = c.Deadline()
		c.Tick(now)
		runs = append(runs[1:], c.Take().Runs...)
	}
}

// BenchmarkSubmitByCount queues by count.
func BenchmarkSubmitByCount(b *testing.B) { benchSubmit(b, LoadSettings{}) }

// BenchmarkSubmitByTime queues by time.
func BenchmarkSubmitByTime(b *testing.B) { benchSubmit(b, LoadSettings{QueueByTime: true}) }

// BenchmarkSubmitWithShares queues by time with shares.
func BenchmarkSubmitWithShares(b *testing.B) {
	benchSubmit(b, LoadSettings{QueueByTime: true, ShareFloor: 0.5})
}
