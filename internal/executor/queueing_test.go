package executor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// trialOperation is an operation with what its calls do.
type trialOperation struct {
	name      string
	work      time.Duration
	objective time.Duration
	timeout   time.Duration
	priority  int
	nested    bool
	// load is the part of the slots that its calls need, at a time since the start.
	load func(at time.Duration) float64
}

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// trialResult counts the calls of an operation by their end.
type trialResult struct {
	asked, inTime, late, refused int
	// work is that of the calls in time, refusedAfter the sum of the waits of those refused.
	work, refusedAfter time.Duration
}

// trial offers load to an executor of 18 slots in virtual time. Run times are spread: 98%
// take 0.6 to 1.2 of the mean and 2% six times the mean.
type trial struct {
	*loadFixture
	random     *rand.Rand
	operations []trialOperation
	due        []float64
	ends       map[uint64]clock.Instant
	calls      map[uint64]int
	results    []trialResult
	asked      map[uint64]clock.Instant
	mostQueued int
	// failAt is when a run fails.
	failAt clock.Instant
}

func newTrial(t *testing.T, settings LoadSettings, operations ...trialOperation) *trial {
	s := &trial{
		loadFixture: newLoadFixture(t), random: rand.New(rand.NewPCG(1, 2)), operations: operations, due: make([]float64, len(operations)),
		ends: map[uint64]clock.Instant{}, calls: map[uint64]int{}, results: make([]trialResult, len(operations)), asked: map[uint64]clock.Instant{},
	}
	s.SetLoad(settings)
	s.limiter = admission.NewLimiter()
	s.Announce(s.now, fleet.Upstream{Name: "u", Service: "s", Boot: "2", Slots: 18, ColdSlots: 18})
	for _, o := range operations {
		s.observeRun(o.name, o.work)
		s.limiter.Start()
		s.limiter.Finish(s.now, admission.Good, o.work)
	}
	return s
}

// run offers the load for a time and then lets all calls end.
func (s *trial) run(d time.Duration) {
	start := s.now
	for ; s.now < start.Add(d+12*time.Second); s.now = s.now.Add(time.Millisecond) {
		for _, id := range slices.Sorted(maps.Keys(s.ends)) {
			if s.ends[id] <= s.now {
				delete(s.ends, id)
				health, answered := admission.Good, verdict.Ran
				if s.failAt != 0 && s.now >= s.failAt {
					health, answered, s.failAt = admission.Failed, verdict.MayHaveRun, 0
				}
				s.Complete(s.now, Outcome{Run: id, Answer: call.Answer{Verdict: answered, Status: 200}, Health: health})
				s.settle()
			}
		}
		s.Tick(s.now)
		s.settle()
		for i, o := range s.operations {
			if s.now >= start.Add(d) {
				break
			}
			s.due[i] += 18 * o.load(s.now.Sub(start)) * float64(time.Millisecond) / float64(o.work)
			for ; s.due[i] >= 1; s.due[i]-- {
				s.offer(i)
			}
		}
		s.mostQueued = max(s.mostQueued, s.queue.length)
	}
}

func (s *trial) offer(i int) {
	o := &s.operations[i]
	s.number++
	s.calls[s.number], s.asked[s.number] = i, s.now
	s.results[i].asked++
	s.Submit(s.now, Ticket{Link: 1, Number: s.number}, call.Call{
		Number: s.number, Service: "s", Operation: o.name, Method: "GET", Idempotent: true, Priority: o.priority, Nested: o.nested,
		Deadline: s.now.Add(o.timeout), Objective: s.now.Add(o.objective),
	})
	s.settle()
}

func (s *trial) settle() {
	out := s.Take()
	for _, run := range out.Runs {
		o := &s.operations[s.calls[run.Call.Number]]
		takes := time.Duration(float64(o.work) * (0.6 + 0.6*s.random.Float64()))
		if s.random.IntN(50) == 0 {
			takes = 6 * o.work
		}
		s.ends[run.ID] = s.now.Add(takes)
	}
	for _, reply := range out.Replies {
		i := s.calls[reply.Ticket.Number]
		r := &s.results[i]
		switch {
		case reply.Answer.Verdict != verdict.Ran:
			r.refused++
			r.refusedAfter += s.now.Sub(s.asked[reply.Ticket.Number])
		case s.now.Sub(s.asked[reply.Ticket.Number]) <= s.operations[i].objective:
			r.inTime++
			r.work += s.operations[i].work
		default:
			r.late++
		}
	}
}

// refusedAfter returns after which time an operation's calls were refused on average.
func (s *trial) refusedAfter(i int) time.Duration {
	return s.results[i].refusedAfter / time.Duration(max(1, s.results[i].refused))
}

// work returns the work of all calls that met their objective.
func (s *trial) work() (work time.Duration) {
	for _, r := range s.results {
		work += r.work
	}
	return work
}

// TestBurstWithinObjective offers 0.7 of the slots and twice that for 6 s, in calls of 590 ms
// with an objective of 3 s. The upstream can serve all of it in time; a queue of 18 calls
// refuses a part of it.
func TestBurstWithinObjective(t *testing.T) {
	burst := trialOperation{name: "o", work: 590 * time.Millisecond, objective: 3 * time.Second, timeout: 10 * time.Second, priority: 2, load: func(at time.Duration) float64 {
		if at > 5*time.Second && at < 11*time.Second {
			return 1.4
		}
		return 0.7
	}}
	bounded := newTrial(t, LoadSettings{}, burst)
	bounded.run(20 * time.Second)
	timed := newTrial(t, LoadSettings{QueueByTime: true}, burst)
	timed.run(20 * time.Second)
	t.Logf("by count %+v, by time %+v, queued %d", bounded.results[0], timed.results[0], timed.mostQueued)
	assert.Assert(t, bounded.results[0].refused > 20)
	assert.Equal(t, timed.results[0].refused, 0)
}

// TestOverloadOfMixedOperations offers 1.6 times the slots in calls of 590 and 94 ms. Calls
// that wait must be served in time: of those that ran, few may be late, and a refusal must
// come early enough for the caller to try elsewhere.
func TestOverloadOfMixedOperations(t *testing.T) {
	operations := []trialOperation{
		{name: "long", work: 590 * time.Millisecond, objective: 3 * time.Second, timeout: 10 * time.Second, priority: 1, load: constantLoad(0.8)},
		{name: "short", work: 94 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 2 * time.Second, priority: 1, load: constantLoad(0.8)},
	}
	bounded := newTrial(t, LoadSettings{}, operations...)
	bounded.run(20 * time.Second)
	timed := newTrial(t, LoadSettings{QueueByTime: true}, operations...)
	timed.run(20 * time.Second)
	t.Logf("by count %+v", bounded.results)
	t.Logf("by time %+v, queued %d", timed.results, timed.mostQueued)
	assert.Assert(t, timed.mostQueued <= maxQueued)
	for i, r := range timed.results {
		assert.Assert(t, r.late < r.asked/20, "%s: %d of %d late", operations[i].name, r.late, r.asked)
		assert.Assert(t, timed.refusedAfter(i) < operations[i].objective/2, "%s: refused after %v", operations[i].name, timed.refusedAfter(i))
	}
	assert.Assert(t, timed.work() > bounded.work()*97/100)
}

// TestLateCallsWaitForUnusedSlots offers 0.5 of the slots in calls that can meet their
// objective and 0.8 in calls that can't. The late ones must use what the others leave, and
// not delay them.
func TestLateCallsWaitForUnusedSlots(t *testing.T) {
	s := newTrial(t, LoadSettings{QueueByTime: true},
		trialOperation{name: "o", work: 94 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 2 * time.Second, load: constantLoad(0.5)},
		trialOperation{name: "o", work: 94 * time.Millisecond, objective: -time.Second, timeout: 2 * time.Second, load: constantLoad(0.8)})
	s.run(10 * time.Second)
	t.Logf("%+v", s.results)
	assert.Assert(t, s.results[0].refused == 0 && s.results[0].late < s.results[0].asked/20)
	assert.Assert(t, s.results[1].late > s.results[1].asked*5/10)
}

// TestLongQueueOfAFailingUpstream fails the upstream while a burst is queued: its limit falls
// to that of a cold start. All calls must be answered, and what can't start in time any more
// early enough for its caller to try elsewhere.
func TestLongQueueOfAFailingUpstream(t *testing.T) {
	s := newTrial(t, LoadSettings{QueueByTime: true, ShareFloor: 0.5}, trialOperation{
		name: "o", work: 590 * time.Millisecond, objective: 3 * time.Second, timeout: 10 * time.Second, load: constantLoad(1.5),
	})
	s.Announce(s.now, fleet.Upstream{Name: "u", Service: "s", Boot: "2", Slots: 18, ColdSlots: 2})
	s.failAt = s.now.Add(4 * time.Second)
	s.run(5 * time.Second)
	r := s.results[0]
	t.Logf("%+v, queued %d", r, s.mostQueued)
	assert.Assert(t, s.mostQueued > 20)
	assert.Equal(t, r.inTime+r.late+r.refused, r.asked)
	assert.Assert(t, s.refusedAfter(0) < 800*time.Millisecond, "refused after %v", s.refusedAfter(0))
	assert.Assert(t, r.late < r.asked/20)
}

// TestNestedCallsPastTheirObjective offers 3 times the slots in nested calls that arrive too
// late for their objective. A queue up to their deadline holds the slots of hundreds of
// parents and serves no more calls.
func TestNestedCallsPastTheirObjective(t *testing.T) {
	s := newTrial(t, LoadSettings{QueueByTime: true}, trialOperation{
		name: "o", work: 59 * time.Millisecond, objective: 10 * time.Millisecond, timeout: 800 * time.Millisecond, nested: true, load: constantLoad(3),
	})
	s.run(5 * time.Second)
	t.Logf("%+v, queued %d", s.results[0], s.mostQueued)
	assert.Assert(t, s.mostQueued <= 2*18)
	assert.Assert(t, s.results[0].late > s.results[0].asked*25/100, "the slots are not used")
}

// TestRefusalInsteadOfLateWait offers more than can start within the objective and then stalls
// the upstream. A call that finds no room, and one whose time has passed, must be refused
// then, and not wait as a late one until their gateway has no time left to try elsewhere.
func TestRefusalInsteadOfLateWait(t *testing.T) {
	s := newLoadFixture(t)
	s.SetLoad(LoadSettings{QueueByTime: true})
	s.observeRun("o", testRunTime)
	for range 40 {
		s.submitCall(nil)
	}
	t.Logf("%d refused, %d queued", len(s.answers), s.queue.length)
	assert.Assert(t, len(s.answers) > 15 && s.queue.length > 5)
	assert.Equal(t, len(s.answers)+s.queue.length+testSlots, 40)
	clear(s.running)
	s.advance(testObjective, nil)
	assert.Equal(t, s.queue.length, 0)
}

// TestColdRestartWithLongQueue restarts the upstream with a lower limit while calls are
// queued. Those that can't start in time any more must be refused at once.
func TestColdRestartWithLongQueue(t *testing.T) {
	s := newLoadFixture(t)
	s.SetLoad(LoadSettings{QueueByTime: true})
	s.observeRun("o", testRunTime)
	for range testSlots + 8 {
		s.submitCall(nil)
	}
	queued := s.queue.length
	s.Announce(s.now, fleet.Upstream{Name: "u", Service: "s", Boot: "2", Slots: testSlots, ColdSlots: 2})
	t.Logf("%d queued, then %d", queued, s.queue.length)
	assert.Assert(t, queued > 6 && s.queue.length > 0 && s.queue.length < queued/2)
}

// TestWaitOfQueuedJobExcludesItself guards against refusing a queued call for its own work.
func TestWaitOfQueuedJobExcludesItself(t *testing.T) {
	s := newLoadFixture(t)
	s.SetLoad(LoadSettings{QueueByTime: true})
	s.observeRun("o", testRunTime)
	for range testSlots + 2 {
		s.submitCall(nil)
	}
	class := s.queue.classes[0]
	assert.Equal(t, class.workBefore(class.last()), testRunTime)
}
