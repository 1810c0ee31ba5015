package executor

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// Guards against a stopping router that starts runs which it must break off, and against calls
// that are neither run nor answered.
func TestStoppingExecutorAnswersEachCall(t *testing.T) {
	s := newFixture(t, true)
	for _, id := range []string{"a", "b", "queued"} {
		s.submit(id, func(c *call.Call) { c.Operation, c.Idempotent = "look", true })
	}
	runs := s.take().Runs
	assert.Equal(t, len(runs), 2)
	queued, running, delegated := s.core.Open()
	assert.DeepEqual(t, []int{queued, running, delegated}, []int{1, 2, 0})

	s.core.RefuseQueued()
	refusal := s.answer()
	assert.Equal(t, refusal.RequestID, "queued")
	assert.Equal(t, refusal.Verdict, verdict.NotRun)
	assert.Equal(t, refusal.Reason, verdict.ReasonStopping)
	s.submit("late", nil)
	assert.Equal(t, s.answer().Reason, verdict.ReasonStopping)

	s.complete(runs[0], verdict.Ran, "done")
	assert.Equal(t, s.answer().Verdict, verdict.Ran)
	s.core.AbortRuns()
	aborts := s.take().Aborts
	assert.Equal(t, len(aborts), 1)
	assert.Equal(t, aborts[0].Run, runs[1].ID)
	s.complete(runs[1], verdict.Ran, "done meanwhile")
	assert.Equal(t, s.answer().Verdict, verdict.Ran)
	assert.Assert(t, s.core.Idle())
}
