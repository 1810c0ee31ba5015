package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
)

// TestReportedWait compares the reported wait with the time that a call then waits, with
// operations of 100 ms behind a queue of 0, 4 and 12. A report that is too high turns calls
// away from an upstream with room, and one that is too low sends calls to a full one.
func TestReportedWait(t *testing.T) {
	s := newLoadFixture(t)
	far := func(c *call.Call) { c.Objective, c.Deadline = s.now.Add(time.Hour), s.now.Add(time.Hour) }
	for range 3 * testSlots {
		s.submitCall(far)
	}
	s.advance(time.Second, nil)
	assert.Equal(t, s.Load().Wait, time.Duration(0))
	for range testSlots - 1 {
		s.submitCall(far)
		s.advance(testRunTime/testSlots, nil)
	}
	assert.Equal(t, s.Load().Wait, time.Duration(0), "a slot is free")
	s.submitCall(far)
	for _, queued := range []int{0, 4, 12} {
		for s.Load().Queued < queued {
			s.submitCall(far)
		}
		wait := s.Load().Wait
		last := s.submitCall(far)
		from := s.now
		s.advance(time.Second, nil)
		took := s.started[last].Sub(from)
		assert.Assert(t, wait > took-testRunTime/2 && wait < took+testRunTime/2, "behind %d: reported %v, waited %v", queued, wait, took)
		for range testSlots {
			s.submitCall(far)
			s.advance(testRunTime/testSlots, nil)
		}
	}
}

// TestNestedWaitBesideDirectQueue guards against refusing parents for direct calls that their
// nested calls go before: the reported wait of nested calls must not contain the direct queue.
func TestNestedWaitBesideDirectQueue(t *testing.T) {
	s := newLoadFixture(t)
	s.SetLoad(LoadSettings{QueueByTime: true})
	s.observeRun("o", testRunTime)
	far := func(c *call.Call) { c.Objective, c.Deadline = s.now.Add(time.Hour), s.now.Add(time.Hour) }
	for range testSlots + 12 {
		s.submitCall(far)
	}
	empty := s.Load()
	assert.Assert(t, empty.NestedWait > 0 && empty.NestedWait <= testRunTime, "%v", empty.NestedWait)
	assert.Equal(t, empty.Wait-empty.NestedWait, 12*testRunTime/testSlots)
	for range 4 {
		s.submitCall(func(c *call.Call) { c.Nested = true })
	}
	assert.Equal(t, s.Load().NestedWait-empty.NestedWait, 4*testRunTime/testSlots)
	class := s.queue.byKey[classKey{operation: "o", nested: true}]
	class.demoted = true
	assert.Equal(t, s.Load().NestedWait, empty.NestedWait)
}
