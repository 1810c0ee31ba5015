package executor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const testWindow = time.Minute

// fixture is an executor that owns all shards of one service and has an
// available upstream.
type fixture struct {
	t       *testing.T
	core    *Core
	now     clock.Instant
	version fleet.Version
	number  uint64
	out     Output
}

func newFixture(t *testing.T, keyed bool) *fixture {
	s := &fixture{t: t, core: New("self", "dc"), now: clock.Instant(time.Hour)}
	s.core.Announce(s.now, fleet.Upstream{Name: "u", Service: "s", Address: "a", Boot: "1", Slots: 2, ColdSlots: 2})
	s.change(fleet.Change{Preset: &fleet.Preset{Services: []fleet.Service{{
		Name: "s", Keyed: keyed, Shards: 4, QueueLimit: 4, RecordWindow: testWindow,
		Operations: []fleet.Operation{{Name: "do"}, {Name: "look", Idempotent: true}},
	}}}})
	for n := range uint32(4) {
		s.shard(n, fleet.ShardGranted, 1)
	}
	s.lease(time.Hour)
	return s
}

func (s *fixture) lease(d time.Duration) { s.core.SetLease(s.now, 1, s.now.Add(d), s.now.Add(d)) }

func (s *fixture) change(c fleet.Change) {
	s.version++
	c.From, c.To = s.version-1, s.version
	assert.Assert(s.t, s.core.SetView(s.now, &c))
}

func (s *fixture) shard(number uint32, phase fleet.ShardPhase, epoch fleet.Epoch) {
	s.change(fleet.Change{Shards: []fleet.Shard{{ID: fleet.ShardID{Service: "s", Number: number}, Phase: phase, Owner: "self", Session: 1, Epoch: epoch}}})
}

func (s *fixture) other() {
	s.change(fleet.Change{Routers: []fleet.Router{{ID: "other", Upstream: fleet.Upstream{Name: "v", Service: "s"}}}})
}

// submit submits a call and returns its number; change may alter the call.
func (s *fixture) submit(id string, change func(*call.Call)) uint64 {
	s.number++
	c := call.Call{Number: s.number, RequestID: id, Service: "s", Operation: "do", Sharded: true, Body: []byte(id), Deadline: s.now.Add(time.Second)}
	if change != nil {
		change(&c)
	}
	s.core.Submit(s.now, Ticket{Link: 1, Number: s.number}, c)
	return s.number
}

// take returns the executor's output since the last take.
func (s *fixture) take() Output {
	s.out = s.core.Take()
	return s.out
}

// answer returns the only answer since the last take.
func (s *fixture) answer() call.Answer {
	s.t.Helper()
	replies := s.take().Replies
	assert.Equal(s.t, len(replies), 1)
	return replies[0].Answer
}

func (s *fixture) complete(run Run, v verdict.Verdict, body string) {
	answer := call.Refusal(&run.Call, v, verdict.ReasonNone)
	answer.Body = []byte(body)
	s.core.Complete(s.now, Outcome{Run: run.ID, Answer: answer, Health: admission.Neutral})
}

// TestAdmissionConditions checks each condition for admitting a call:
// without it, the call is answered with the right verdict and reason, and is
// not started.
func TestAdmissionConditions(t *testing.T) {
	resend := func(c *call.Call) { c.Resend = true }
	unsharded := func(c *call.Call) { c.Sharded, c.Idempotent = false, true }
	for name, c := range map[string]struct {
		prepare func(*fixture)
		call    func(*call.Call)
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		"lease":               {func(s *fixture) { s.core.SetLease(s.now, 1, s.now, s.now.Add(time.Hour)) }, nil, verdict.NotRun, verdict.ReasonLeaseExpired},
		"view lease":          {func(s *fixture) { s.core.SetLease(s.now, 1, s.now.Add(time.Hour), s.now) }, nil, verdict.NotRun, verdict.ReasonViewStale},
		"session":             {func(s *fixture) { s.core.SetLease(s.now, 2, s.now.Add(time.Hour), s.now.Add(time.Hour)) }, nil, verdict.NotRun, verdict.ReasonNotOwner},
		"ownership":           {func(s *fixture) { s.shard(0, fleet.ShardFree, 1) }, nil, verdict.NotRun, verdict.ReasonNotOwner},
		"unrevoked shard":     {func(s *fixture) { s.shard(0, fleet.ShardRevoking, 1) }, nil, verdict.NotRun, verdict.ReasonNotOwner},
		"full view":           {func(s *fixture) { s.change(fleet.Change{Full: true}) }, nil, verdict.NotRun, verdict.ReasonNotOwner},
		"upstream":            {func(s *fixture) { s.core.Leave(s.now) }, nil, verdict.NotRun, verdict.ReasonNoUpstream},
		"upstream in service": {func(s *fixture) { s.change(fleet.Change{Upstreams: []fleet.UpstreamSetting{{Name: "u", Out: true}}}) }, unsharded, verdict.NotRun, verdict.ReasonNoUpstream},
		"data centre in service": {func(s *fixture) {
			s.change(fleet.Change{DataCentres: []fleet.DataCentreSetting{{Name: "dc", Out: true}}})
		}, unsharded, verdict.NotRun, verdict.ReasonNoUpstream},
		"time left":                    {func(s *fixture) { s.now = s.now.Add(time.Second) }, func(c *call.Call) { c.Deadline = clock.Instant(time.Hour) }, verdict.NotRun, verdict.ReasonDeadline},
		"running process":              {func(s *fixture) { s.core.Stop() }, nil, verdict.NotRun, verdict.ReasonStopping},
		"record window":                {func(*fixture) {}, resend, verdict.MayHaveRun, verdict.ReasonRecordLost},
		"record window, past deadline": {func(s *fixture) { s.now = s.now.Add(time.Second) }, func(c *call.Call) { c.Resend, c.Deadline = true, 1 }, verdict.MayHaveRun, verdict.ReasonRecordLost},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, true)
			c.prepare(s)
			s.submit("id", c.call)
			answer := s.answer()
			assert.Equal(t, answer.Verdict, c.verdict)
			assert.Equal(t, answer.Reason, c.reason)
			assert.Equal(t, len(s.out.Runs), 0)
		})
	}
	s := newFixture(t, true)
	s.now = s.now.Add(testWindow)
	s.shard(1, fleet.ShardGranted, 2)
	s.submit("id", resend)
	assert.Equal(t, len(s.take().Runs), 1, "a resend to an executor that has owned the shard for the whole window")
	s.submit("other", func(c *call.Call) { c.Resend, c.Shard = true, 1 })
	assert.Equal(t, s.answer().Reason, verdict.ReasonRecordLost, "a resend for a shard that was granted anew within the window")
}

// TestDelegationConditions checks each condition for delegating a call to
// another executor.
func TestDelegationConditions(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"lease":           func(s *fixture) { s.core.SetLease(s.now, 1, s.now, s.now.Add(time.Hour)) },
		"view lease":      func(s *fixture) { s.core.SetLease(s.now, 1, s.now.Add(time.Hour), s.now) },
		"session":         func(s *fixture) { s.core.SetLease(s.now, 2, s.now.Add(time.Hour), s.now.Add(time.Hour)) },
		"unrevoked shard": func(s *fixture) { s.shard(0, fleet.ShardRevoking, 1) },
	} {
		s := newFixture(t, false)
		s.other()
		s.submit("x", nil)
		s.submit("y", nil)
		s.take()
		prepare(s)
		s.submit("id", nil)
		assert.Equal(t, s.answer().Verdict, verdict.NotRun, name)
		assert.Equal(t, len(s.out.Delegations), 0, name)
	}
}

// TestCancel checks that cancelling all calls of a link aborts the idempotent
// run only, and that a cancelled call that did not run is neither retried nor
// recorded.
func TestCancel(t *testing.T) {
	s := newFixture(t, false)
	s.other()
	once, lookup := s.submit("id", nil), s.submit("look", func(c *call.Call) { c.Sharded, c.Idempotent = false, true })
	run := s.take().Runs[0]
	s.core.CancelLink(s.now, 1)
	aborts := s.take().Aborts
	assert.Equal(t, len(aborts), 1, "%d and %d", once, lookup)
	assert.Equal(t, aborts[0].RequestID, "look")
	s.complete(run, verdict.NotRun, "")
	assert.Equal(t, len(s.take().Delegations), 0)
	assert.Equal(t, len(s.core.records.records), 0)
}

// Guards against a run of a cancelled call that reaches the upstream only because call and
// cancellation were received together, after the process was held up.
func TestCancelWithdrawsARunThatWasNotTaken(t *testing.T) {
	for name, change := range map[string]func(*call.Call){
		"idempotent": func(c *call.Call) { c.Sharded, c.Idempotent = false, true }, "recorded": nil,
		"neither idempotent nor recorded": func(c *call.Call) { c.Sharded, c.Recorded = false, true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, false)
			number := s.submit("id", change)
			s.core.Cancel(s.now, Ticket{Link: 1, Number: number})
			out := s.take()
			assert.Equal(t, len(out.Runs)+len(out.Aborts), 0)
			assert.Assert(t, s.core.Idle())
			assert.Equal(t, s.core.limiter.Running(), 0)
			assert.Equal(t, len(s.core.records.records), 0)
		})
	}
}

// TestRecordOutlivesItsWindowWhileItRuns checks that a record is kept beyond
// its window until its run has ended. Otherwise a resend would run a second
// time.
func TestRecordOutlivesItsWindowWhileItRuns(t *testing.T) {
	s := newFixture(t, false)
	long := func(c *call.Call) { c.Deadline = s.now.Add(2 * testWindow) }
	s.submit("id", long)
	run := s.take().Runs[0]
	s.now = s.now.Add(testWindow + time.Second)
	s.submit("id", long)
	assert.Equal(t, len(s.take().Runs), 0)
	s.complete(run, verdict.Ran, "")
	assert.Equal(t, len(s.take().Replies), 2)
}

// TestMovedShardRefusesItsQueueAtOnce checks that queued calls of a revoked
// shard are refused at once and don't wait for a slot of the upstream.
func TestMovedShardRefusesItsQueueAtOnce(t *testing.T) {
	s := newFixture(t, false)
	for _, id := range []string{"a", "b", "queued"} {
		s.submit(id, nil)
	}
	s.take()
	s.shard(0, fleet.ShardRevoking, 1)
	assert.Equal(t, s.answer().RequestID, "queued")
}

// TestQueuedCallsAreCheckedAgain checks that the conditions for admitting a call
// are checked again before a queued call starts.
func TestQueuedCallsAreCheckedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*fixture)
		reason  verdict.Reason
	}{
		"lease":      {func(s *fixture) { s.core.SetLease(s.now, 1, s.now, s.now.Add(time.Hour)) }, verdict.ReasonLeaseExpired},
		"view lease": {func(s *fixture) { s.core.SetLease(s.now, 1, s.now.Add(time.Hour), s.now) }, verdict.ReasonViewStale},
		"shard":      {func(s *fixture) { s.shard(0, fleet.ShardRevoking, 1) }, verdict.ReasonNotOwner},
		"epoch":      {func(s *fixture) { s.shard(0, fleet.ShardGranted, 2) }, verdict.ReasonNotOwner},
		"session":    {func(s *fixture) { s.core.SetLease(s.now, 2, s.now.Add(time.Hour), s.now.Add(time.Hour)) }, verdict.ReasonNotOwner},
		"upstream":   {func(s *fixture) { s.core.Leave(s.now) }, verdict.ReasonNoUpstream},
		"service": {func(s *fixture) {
			s.core.Announce(s.now, fleet.Upstream{Name: "u", Service: "z", Boot: "1", Slots: 2, ColdSlots: 2})
		}, verdict.ReasonNoUpstream},
		"time":   {func(s *fixture) { s.now = s.now.Add(time.Second) }, verdict.ReasonDeadline},
		"caller": {func(s *fixture) { s.core.Cancel(s.now, Ticket{Link: 1, Number: 3}) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, false)
			for _, id := range []string{"a", "b", "queued"} {
				s.submit(id, nil)
			}
			runs := s.take().Runs
			assert.Equal(t, len(runs), 2)
			c.prepare(s)
			s.core.Tick(s.now)
			replies := 0
			for _, reply := range s.take().Replies {
				if reply.Answer.RequestID == "queued" {
					replies++
					assert.Equal(t, reply.Answer.Verdict, verdict.NotRun)
					assert.Equal(t, reply.Answer.Reason, c.reason)
				}
			}
			assert.Equal(t, replies == 0, c.reason == "")
			s.complete(runs[0], verdict.Ran, "")
			assert.Equal(t, len(s.take().Runs), 0)
		})
	}
}

// TestDuplicatesAreAnsweredFromTheRecord checks that a resend gets the answer
// of the first run, also while the upstream is leaving and the shard is
// revoked, and that another request under the same ID is refused.
func TestDuplicatesAreAnsweredFromTheRecord(t *testing.T) {
	s := newFixture(t, false)
	s.submit("id", nil)
	run := s.take().Runs[0]
	second := s.submit("id", func(c *call.Call) { c.Resend = true })
	s.submit("id", func(c *call.Call) { c.Operation = "else" })
	conflicting := s.answer()
	assert.Equal(t, conflicting.Verdict, verdict.MayHaveRun)
	assert.Equal(t, conflicting.Reason, verdict.ReasonDuplicate)
	s.complete(run, verdict.Ran, "body")
	replies := s.take().Replies
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, replies[1].Answer.Number, second)

	s.core.Leave(s.now)
	s.shard(0, fleet.ShardRevoking, 1)
	assert.Equal(t, len(s.take().Releases), 1)
	s.submit("id", func(c *call.Call) { c.Resend = true })
	answer := s.answer()
	assert.Equal(t, answer.Verdict, verdict.Ran)
	assert.Equal(t, string(answer.Body), "body")
}

// TestTimedOutRunKeepsItsRecord checks that callers are answered at the
// deadline of a run, that its late answer is recorded for resends, and that the
// record is kept meanwhile.
func TestTimedOutRunKeepsItsRecord(t *testing.T) {
	s := newFixture(t, false)
	s.submit("id", nil)
	run := s.take().Runs[0]
	s.now = s.now.Add(time.Second)
	assert.Equal(t, s.core.Deadline(), s.now)
	s.core.Tick(s.now)
	answer := s.answer()
	assert.Equal(t, answer.Verdict, verdict.MayHaveRun)
	assert.Equal(t, len(s.out.Aborts), 1)
	s.submit("id", func(c *call.Call) { c.Resend = true })
	assert.Equal(t, s.answer().Reason, verdict.ReasonDuplicate)
	s.complete(run, verdict.Ran, "late")
	assert.Equal(t, len(s.take().Replies), 0)
	s.submit("id", func(c *call.Call) { c.Resend = true })
	assert.Equal(t, string(s.answer().Body), "late")
	assert.Assert(t, s.core.Idle())
}

// TestKeyedRunsEndWithTheLease checks that a keyed run gets the lease's expiry
// as its deadline, and that its callers are answered with may-have-run when the
// lease expires. Calls that are not keyed may run longer.
func TestKeyedRunsEndWithTheLease(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		s := newFixture(t, keyed)
		s.lease(100 * time.Millisecond)
		s.submit("id", nil)
		run := s.take().Runs[0]
		assert.Equal(t, run.Fence, s.now.Add(100*time.Millisecond))
		assert.Equal(t, run.Deadline == run.Fence, keyed)
		s.now = s.now.Add(100 * time.Millisecond)
		assert.Equal(t, s.core.Deadline() <= s.now, keyed)
		s.core.Tick(s.now)
		out := s.take()
		assert.Equal(t, len(out.Replies) == 1 && len(out.Aborts) == 1, keyed)
		if keyed {
			assert.Equal(t, out.Replies[0].Answer.Verdict, verdict.MayHaveRun)
		}
		assert.Equal(t, s.core.Held(s.now), 0)
	}
}

// TestReleaseWaitsForEveryEpoch checks that a shard that was lost and granted
// anew is not released while a run of its former epoch is in flight.
func TestReleaseWaitsForEveryEpoch(t *testing.T) {
	s := newFixture(t, true)
	s.submit("id", nil)
	run := s.take().Runs[0]
	s.shard(0, fleet.ShardFree, 1)
	s.shard(0, fleet.ShardGranted, 2)
	s.shard(0, fleet.ShardRevoking, 2)
	assert.Equal(t, len(s.take().Releases), 0)
	s.complete(run, verdict.MayHaveRun, "")
	releases := s.take().Releases
	assert.Equal(t, len(releases), 1)
	assert.Equal(t, releases[0].Epoch, fleet.Epoch(2))
	assert.Equal(t, s.core.Held(s.now), 3)
}

// TestRecordsAreBounded checks the limits on the number of records and on the
// size of their answers, and that no record is dropped before its window has
// passed.
func TestRecordsAreBounded(t *testing.T) {
	s := newFixture(t, false)
	body := string(make([]byte, 1<<20))
	for i := range 8 {
		s.submit(fmt.Sprint("big-", i), nil)
		s.complete(s.take().Runs[0], verdict.Ran, body)
	}
	s.take()
	assert.Assert(t, s.core.records.bytes <= maxRecordBytes)
	s.submit("big-0", func(c *call.Call) { c.Resend = true })
	assert.Equal(t, s.answer().Verdict, verdict.MayHaveRun)
	s.submit("big-7", func(c *call.Call) { c.Resend = true })
	assert.Equal(t, s.answer().Verdict, verdict.Ran)

	for i := range 1000 {
		s.submit(fmt.Sprint("refused-", i), nil)
		s.complete(s.take().Runs[0], verdict.NotRun, "")
	}
	assert.Assert(t, len(s.core.records.byArrival) < 200, "%d", len(s.core.records.byArrival))
	for i := len(s.core.records.records); i < maxRecords; i++ {
		s.core.records.settle(s.core.records.add(s.now, &call.Call{RequestID: fmt.Sprint("fill-", i)}, testWindow), call.Answer{})
	}
	s.take()
	s.submit("over", nil)
	answer := s.answer()
	assert.Equal(t, answer.Verdict, verdict.NotRun)
	assert.Equal(t, answer.Reason, verdict.ReasonOverloaded)
	s.now = s.now.Add(testWindow)
	s.lease(time.Hour)
	s.submit("after", nil)
	assert.Equal(t, len(s.take().Runs), 1)
	assert.Equal(t, len(s.core.records.records), 1)
	assert.Equal(t, s.core.records.bytes, 0)
}

// TestDelegation checks when the executor that keeps a record delegates the
// call, and how it handles the outcome.
func TestDelegation(t *testing.T) {
	causes := map[string]func(*fixture){
		"busy":    func(s *fixture) { s.submit("x", nil); s.submit("y", nil) },
		"leaving": func(s *fixture) { s.core.Leave(s.now) },
		"out":     func(s *fixture) { s.change(fleet.Change{Upstreams: []fleet.UpstreamSetting{{Name: "u", Out: true}}}) },
		"shed": func(s *fixture) {
			s.submit("id", nil)
			s.complete(s.take().Runs[0], verdict.NotRun, "")
		},
	}
	for name, prepare := range causes {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, false)
			s.other()
			prepare(s)
			s.submit("id", nil)
			delegations := s.take().Delegations
			assert.Equal(t, len(delegations), 1)
			s.submit("id", func(c *call.Call) { c.Resend = true })
			s.core.Complete(s.now, Outcome{Run: delegations[0].Run, Answer: call.Answer{RequestID: "id", Verdict: verdict.Ran, Upstream: "v", Body: []byte("theirs")}})
			for _, reply := range s.take().Replies {
				assert.Equal(t, string(reply.Answer.Body), "theirs")
				assert.Equal(t, reply.Answer.Upstream, "v")
			}
			assert.Assert(t, len(s.out.Replies) >= 2)
			assert.Equal(t, len(s.out.Runs), 0)
		})
	}
	t.Run("keyed calls are not delegated", func(t *testing.T) {
		s := newFixture(t, true)
		s.other()
		s.core.Leave(s.now)
		s.submit("id", nil)
		assert.Equal(t, s.answer().Reason, verdict.ReasonNoUpstream)
	})
	t.Run("no other executor", func(t *testing.T) {
		s := newFixture(t, false)
		for _, id := range []string{"x", "y", "id"} {
			s.submit(id, nil)
		}
		assert.Equal(t, len(s.take().Delegations), 0)
	})
	t.Run("refused there", func(t *testing.T) {
		s := newFixture(t, false)
		s.other()
		for _, id := range []string{"x", "y", "id"} {
			s.submit(id, nil)
		}
		out := s.take()
		s.core.Complete(s.now, Outcome{Run: out.Delegations[0].Run, Answer: call.Answer{Verdict: verdict.NotRun}})
		s.complete(out.Runs[0], verdict.Ran, "")
		assert.Equal(t, len(s.take().Runs), 1, "it goes back into the queue")
	})
	t.Run("no outcome", func(t *testing.T) {
		s := newFixture(t, false)
		s.other()
		s.core.Leave(s.now)
		s.submit("id", nil)
		s.take()
		s.now = s.core.Deadline()
		s.core.Tick(s.now)
		assert.Equal(t, s.answer().Verdict, verdict.MayHaveRun)
		s.now = s.core.Deadline()
		s.core.Tick(s.now)
		assert.Assert(t, s.core.Idle())
		s.submit("id", func(c *call.Call) { c.Resend = true })
		assert.Equal(t, s.answer().Verdict, verdict.MayHaveRun)
	})
}

// TestEarliestDeadlineFirst checks the order in which queued calls start.
func TestEarliestDeadlineFirst(t *testing.T) {
	s := newFixture(t, false)
	for i, left := range []time.Duration{9, 9, 5, 3, 4} {
		s.submit(fmt.Sprint(i), func(c *call.Call) { c.Deadline = s.now.Add(left * time.Second) })
	}
	running := s.take().Runs
	var order []string
	for len(running) > 0 {
		s.complete(running[0], verdict.Ran, "")
		next := s.take().Runs
		for _, run := range next {
			order = append(order, run.Call.RequestID)
		}
		running = append(running[1:], next...)
	}
	assert.DeepEqual(t, order, []string{"3", "4", "2"})
}
