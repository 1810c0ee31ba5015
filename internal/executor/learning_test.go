package executor

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// TestSlowdownDecays guards against a slowdown that is believed long after the phase of
// the VM has ended, against taking a report without one for the usual speed, and against
// taking the constant speed of a VM, which run times include already, for a slow phase.
func TestSlowdownDecays(t *testing.T) {
	s := newFixture(t, true)
	assert.Equal(t, s.core.Load().Slowdown, 0.0)
	report := func(r *admission.Report) {
		s.submit(strconv.Itoa(int(s.number)), nil)
		run := s.take().Runs[0]
		s.core.Complete(s.now, Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, verdict.MayHaveRun, verdict.ReasonTruncated), Health: admission.Neutral, Report: r})
	}
	for range 200 {
		report(&admission.Report{Slots: 2, Slowdown: 1.4})
		assert.Assert(t, math.Abs(s.core.Load().Slowdown-1) < 1e-9)
	}
	report(&admission.Report{Slots: 2, Slowdown: 4.2})
	slow := s.core.Load().Slowdown
	assert.Assert(t, slow > 2.8 && slow <= 3, "%f", slow)
	report(&admission.Report{Slots: 2})
	report(nil)
	assert.Equal(t, s.core.Load().Slowdown, slow)
	s.now = s.now.Add(slowdownHalfLife)
	assert.Equal(t, s.core.SlowdownAt(s.now), 1+(slow-1)/2)
	s.core.Tick(s.now)
	assert.Equal(t, s.core.Load().Slowdown, 1+(slow-1)/2)
	assert.Equal(t, s.core.SlowdownAt(s.now.Add(time.Hour)), 1.0)
}

// TestLearnedLimitBoundsRuns runs an upstream of 12 slots at a demand above its
// capacity. From 4 runs at once on, each further one costs more than it adds. Only with
// learning switched on may the limit fall, and then with an event.
func TestLearnedLimitBoundsRuns(t *testing.T) {
	for _, learn := range []bool{true, false} {
		s := newFixture(t, false)
		s.core.LearnCapacity(learn)
		s.core.Announce(s.now, fleet.Upstream{Name: "u", Service: "s", Boot: "2", Slots: 12, ColdSlots: 2})
		var runs []Run
		changes := 0
		for range 4000 {
			for s.core.queue.length < 2 {
				s.submit(strconv.Itoa(int(s.number)), func(c *call.Call) { c.Operation, c.Sharded, c.Idempotent = "look", false, true })
			}
			out := s.take()
			runs = append(runs, out.Runs...)
			for _, e := range out.Events {
				if e.Event == event.LimitLearned {
					changes++
				}
			}
			between := 15 * time.Millisecond
			if n := len(runs); n < 4 {
				between = 60 * time.Millisecond / time.Duration(n)
			} else {
				between += time.Duration(n-4) * 4 * time.Millisecond
			}
			s.now = s.now.Add(between)
			s.core.Complete(s.now, Outcome{Run: runs[0].ID, Answer: call.Refusal(&runs[0].Call, verdict.Ran, ""), Health: admission.Good})
			runs = runs[1:]
		}
		assert.Equal(t, s.core.Load().Limit <= 6, learn, "limit %d", s.core.Load().Limit)
		assert.Equal(t, changes > 0, learn)
		assert.Equal(t, s.core.LearnedLimit() > 0, learn)
	}
}
