package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// TestParentsAreRefusedWhileTheirServiceIsFull learns from 30 runs that they call a service
// with an objective of 300 ms. While the wait there is longer, the operation must be refused
// and others not. It must be admitted as soon as there is room, and when reports cease because
// the gateway duty is stuck or its link is lost.
func TestParentsAreRefusedWhileTheirServiceIsFull(t *testing.T) {
	s := newLoadFixture(t)
	s.SetLoad(LoadSettings{ParentAdmission: true})
	report := func(wait time.Duration) {
		s.SetServiceWait(call.ServiceWait{Service: "called", Wait: wait, ReportedAt: s.now})
	}
	for range 30 {
		s.submitCall(nil)
		deadline := s.now.Add(testDeadline - 2*time.Millisecond)
		s.HandleNestedCall(call.NestedCall{Service: "called", Objective: 300 * time.Millisecond, ParentDeadline: deadline})
		s.HandleNestedCall(call.NestedCall{Service: "other", Objective: time.Millisecond, ParentDeadline: deadline.Add(-time.Second)})
		s.advance(testRunTime+2*time.Millisecond, nil)
	}
	refused := func(change func(*call.Call)) bool {
		answer, ok := s.answers[s.submitCall(change)]
		s.advance(testRunTime+2*time.Millisecond, nil)
		return ok && answer.Verdict == verdict.NotRun && answer.Reason == verdict.ReasonOverloaded
	}
	s.SetServiceWait(call.ServiceWait{Service: "other", Wait: time.Second, ReportedAt: s.now})
	assert.Assert(t, !refused(nil), "a call that matches no run counts")
	report(400 * time.Millisecond)
	assert.Assert(t, refused(nil))
	assert.Assert(t, !refused(func(c *call.Call) { c.Operation = "another" }))
	assert.Assert(t, !refused(func(c *call.Call) { c.Nested = true }), "the run of a parent is wasted")
	report(250 * time.Millisecond)
	assert.Assert(t, !refused(nil), "there is room again")
	report(400 * time.Millisecond)
	s.advance(maxWaitAge-100*time.Millisecond, nil)
	assert.Assert(t, refused(nil))
	s.advance(200*time.Millisecond, nil)
	assert.Assert(t, !refused(nil), "the report is old")
	report(400 * time.Millisecond)
	s.SetLoad(LoadSettings{})
	assert.Assert(t, !refused(nil), "the switch is off")
}

// TestNestedUseIsForgotten checks that an operation whose runs make no nested calls any more
// is not refused for them, and that it takes no memory.
func TestNestedUseIsForgotten(t *testing.T) {
	p := newParentAdmission()
	for i := range 2 * maxNestedOperations {
		p.learn(string(rune('a'+i)), nestedUses{{service: "s", calls: 1}})
	}
	assert.Equal(t, len(p.uses), maxNestedOperations)
	for range 60 {
		p.learn("a", nil)
	}
	assert.Equal(t, len(p.uses), maxNestedOperations-1)
}

// TestAmbiguousParents guards against nested calls that are learned for an operation that makes
// none: with runs of two operations at the same deadline, either may be the parent.
func TestAmbiguousParents(t *testing.T) {
	for operation, counted := range map[string]int{"o": 1, "another": 0} {
		s := newLoadFixture(t)
		s.submitCall(nil)
		s.advance(time.Millisecond, nil)
		s.submitCall(func(c *call.Call) { c.Operation = operation })
		s.HandleNestedCall(call.NestedCall{Service: "called", ParentDeadline: s.now.Add(testDeadline)})
		uses := 0
		for _, j := range s.jobs {
			uses += len(j.nested)
		}
		assert.Equal(t, uses, counted, "beside a run of %s", operation)
	}
}

// TestParentWithTheDeadlineOfItsLease guards against nested calls that match no run since their
// parent was told an earlier deadline than that of its caller.
func TestParentWithTheDeadlineOfItsLease(t *testing.T) {
	s := newFixture(t, true)
	s.lease(300 * time.Millisecond)
	s.submit("a", nil)
	run := s.take().Runs[0]
	assert.Equal(t, run.Deadline, s.now.Add(300*time.Millisecond))
	s.core.HandleNestedCall(call.NestedCall{Service: "called", ParentDeadline: run.Deadline})
	assert.Equal(t, len(s.core.jobs[run.ID].nested), 1)
}
