package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
)

// TestFloorOfLowPriority offers 1.1 of the slots in calls of priority 0 and 0.6 in calls of
// priority 2. Without a floor, the second operation is hardly served. With one, it gets most
// of the floor, and the slots stay as busy.
func TestFloorOfLowPriority(t *testing.T) {
	operations := []trialOperation{
		{name: "first", work: 94 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 2 * time.Second, load: constantLoad(1.1)},
		{name: "second", work: 590 * time.Millisecond, objective: 3 * time.Second, timeout: 10 * time.Second, priority: 2, load: constantLoad(0.6)},
	}
	floor, length := 0.6, 30*time.Second
	due := time.Duration(floor * 0.6 / 1.7 * 18 * float64(length))
	for _, byTime := range []bool{false, true} {
		strict := newTrial(t, LoadSettings{QueueByTime: byTime}, operations...)
		strict.run(length)
		shared := newTrial(t, LoadSettings{QueueByTime: byTime, ShareFloor: floor}, operations...)
		shared.run(length)
		t.Logf("by time %v: strict %+v, shared %+v; floor %v", byTime, strict.results, shared.results, due)
		assert.Assert(t, strict.results[1].work < due/2)
		assert.Assert(t, shared.results[1].work > due*8/10)
		assert.Assert(t, shared.work() > strict.work()*9/10)
	}
}

// TestNestedCallsBesideDirectOnes offers 0.9 of the slots in nested calls of 59 ms and 0.6 in
// direct calls of 94 ms and priority 0. Nested calls that always go first leave 0.1 to the
// direct ones. With shares, both get theirs.
func TestNestedCallsBesideDirectOnes(t *testing.T) {
	operations := []trialOperation{
		{name: "nested", work: 59 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 800 * time.Millisecond, nested: true, load: constantLoad(0.9)},
		{name: "direct", work: 94 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 2 * time.Second, load: constantLoad(0.6)},
	}
	strict := newTrial(t, LoadSettings{QueueByTime: true}, operations...)
	strict.run(20 * time.Second)
	shared := newTrial(t, LoadSettings{QueueByTime: true, ShareFloor: 0.5}, operations...)
	shared.run(20 * time.Second)
	t.Logf("strict %+v, shared %+v", strict.results, shared.results)
	served := func(s *trial, i int) float64 { return float64(s.results[i].inTime) / float64(s.results[i].asked) }
	assert.Assert(t, served(strict, 1) < 0.3)
	assert.Assert(t, served(shared, 1) > 0.5)
	assert.Assert(t, served(shared, 0) > 0.5)
}

// TestSharesAreBounded accounts for more operations than are kept, over a time in which the
// unit is set anew. Memory must stay bounded and the shares correct.
func TestSharesAreBounded(t *testing.T) {
	s := newSlotShares()
	now := newLoadFixture(t).now
	for i := range 1000 {
		now = now.Add(100 * time.Millisecond)
		s.ask(now, s.share(shareKey{operation: string(rune('a' + i))}), time.Millisecond)
		s.ask(now, s.share(shareKey{operation: "half"}), time.Millisecond)
		assert.Assert(t, len(s.shares) <= maxShares+2)
	}
	half := s.demand(s.share(shareKey{operation: "half"}))
	assert.Assert(t, half > 0.45 && half < 0.55, "%v", half)
}

// TestFewNestedCallsBesideFullDirectLoad offers 0.05 of the slots in nested calls beside 1.6 in
// direct ones. Nested calls that keep to their share of the demand lose as many as direct ones,
// and each wastes the run of its parent.
func TestFewNestedCallsBesideFullDirectLoad(t *testing.T) {
	s := newTrial(t, LoadSettings{QueueByTime: true, ShareFloor: 0.5},
		trialOperation{name: "nested", work: 59 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 800 * time.Millisecond, nested: true, load: constantLoad(0.05)},
		trialOperation{name: "direct", work: 94 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 2 * time.Second, load: constantLoad(1.6)})
	s.run(20 * time.Second)
	t.Logf("%+v", s.results)
	assert.Assert(t, s.results[0].refused <= s.results[0].asked/100)
}

// TestLateCallsHaveNoShare guards against late calls that raise the demand of their operation,
// and with it the floor of its other calls.
func TestLateCallsHaveNoShare(t *testing.T) {
	s := newLoadFixture(t)
	s.SetLoad(LoadSettings{QueueByTime: true, ShareFloor: 0.5})
	s.observeRun("o", testRunTime)
	for range 2 * testSlots {
		s.submitCall(func(c *call.Call) { c.Objective = s.now.Add(-time.Second) })
	}
	s.advance(testRunTime+2*time.Millisecond, nil)
	assert.Assert(t, len(s.started) > testSlots)
	assert.Equal(t, s.shares.asked, 0.0)
	assert.Equal(t, s.shares.given, 0.0)
}
