package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
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

// Guards against a stopping router that takes a call, or starts one from its queue, and breaks
// off the run at its own end.
func TestStoppingExecutorStartsOnlyWhatItCanFinish(t *testing.T) {
	const runTime = 100 * time.Millisecond
	look := func(timeout time.Duration, now clock.Instant) func(*call.Call) {
		return func(c *call.Call) {
			c.Operation, c.Idempotent, c.Sharded, c.Deadline = "look", true, false, now.Add(timeout)
		}
	}
	newStopping := func(t *testing.T) *fixture {
		s := newFixture(t, false)
		s.submit("first", look(time.Hour, s.now))
		run := s.take().Runs[0]
		s.now = s.now.Add(runTime)
		s.complete(run, verdict.Ran, "")
		assert.Equal(t, s.answer().Verdict, verdict.Ran)
		return s
	}
	t.Run("a call that may last longer goes elsewhere", func(t *testing.T) {
		s := newStopping(t)
		s.other()
		s.core.StopBy(s.now, s.now.Add(time.Second))
		s.submit("long", func(c *call.Call) {
			look(2*time.Second, s.now)(c)
			c.Idempotent = false
		})
		assert.Equal(t, s.answer().Reason, verdict.ReasonStopping)
		s.submit("short", look(time.Second, s.now))
		assert.Equal(t, len(s.take().Runs), 1)
	})
	t.Run("a call that may run twice is taken while it is expected to end", func(t *testing.T) {
		s := newStopping(t)
		s.other()
		s.core.StopBy(s.now, s.now.Add(time.Second))
		s.submit("in time", look(2*time.Second, s.now))
		assert.Equal(t, len(s.take().Runs), 1)
		s.now = s.now.Add(time.Second - 3*runTime)
		s.submit("too late", look(2*time.Second, s.now))
		assert.Equal(t, s.answer().Reason, verdict.ReasonStopping)
	})
	t.Run("a call for keys of the upstream is taken while it is expected to end", func(t *testing.T) {
		s := newStopping(t)
		s.core.StopBy(s.now, s.now.Add(time.Second))
		keyed := func(c *call.Call) {
			look(time.Hour, s.now)(c)
			c.Sharded = true
		}
		s.submit("in time", keyed)
		assert.Equal(t, len(s.take().Runs), 1)
		s.now = s.now.Add(time.Second - 3*runTime)
		s.submit("too late", keyed)
		assert.Equal(t, s.answer().Reason, verdict.ReasonStopping)
	})
	t.Run("a queued call is refused in time", func(t *testing.T) {
		s := newStopping(t)
		end := s.now.Add(time.Second)
		for _, id := range []string{"a", "b", "long", "short"} {
			timeout := time.Hour
			if id == "short" {
				timeout = time.Second
			}
			s.submit(id, look(timeout, s.now))
		}
		runs := s.take().Runs
		assert.Equal(t, len(runs), 2)
		s.core.StopBy(s.now, end)
		assert.Equal(t, len(s.take().Replies), 0)
		assert.Assert(t, s.core.Deadline() < end)
		s.now = s.core.Deadline()
		s.core.Tick(s.now)
		refusal := s.answer()
		assert.Equal(t, refusal.RequestID, "long")
		assert.Equal(t, refusal.Verdict, verdict.NotRun)
		assert.Equal(t, refusal.Reason, verdict.ReasonStopping)
		s.complete(runs[0], verdict.Ran, "")
		assert.Equal(t, s.take().Runs[0].Call.RequestID, "short")
	})
}

// Guards against a withdrawn call that runs although its caller was told that it has not, and
// against a caller that is told so although its request runs for another one.
func TestWithdrawnCallsAreRefusedUnlessTheyHaveStarted(t *testing.T) {
	s := newFixture(t, true)
	var last uint64
	for _, id := range []string{"a", "b", "c", "d"} {
		last = s.submit(id, nil)
	}
	runs := s.take().Runs
	assert.Equal(t, len(runs), 2)
	withdraw := func(number uint64) []Reply {
		s.core.Withdraw(s.now, Ticket{Link: 1, Number: number})
		return s.take().Replies
	}
	assert.Equal(t, len(withdraw(1)), 0, "it runs")
	refused := withdraw(last - 1)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Answer.RequestID, "c")
	assert.Equal(t, refused[0].Answer.Verdict, verdict.NotRun)
	assert.Equal(t, len(withdraw(last-1)), 0, "it is gone")

	resend := s.submit("d", func(c *call.Call) { c.Resend = true })
	assert.Equal(t, len(withdraw(last)), 0, "another caller waits for it")
	s.complete(runs[0], verdict.Ran, "")
	out := s.take()
	assert.Equal(t, len(out.Runs), 1)
	s.complete(out.Runs[0], verdict.Ran, "d")
	numbers := map[uint64]verdict.Verdict{}
	for _, reply := range s.take().Replies {
		numbers[reply.Ticket.Number] = reply.Answer.Verdict
	}
	assert.DeepEqual(t, numbers, map[uint64]verdict.Verdict{last: verdict.Ran, resend: verdict.Ran})
}
