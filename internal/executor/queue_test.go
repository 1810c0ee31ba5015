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

const (
	testObjective = 400 * time.Millisecond
	testDeadline  = 2 * time.Second
	testRunTime   = 100 * time.Millisecond
	testSlots     = 4
)

// loadFixture is an executor with an upstream of a routed service, in virtual
// time.
type loadFixture struct {
	*Core
	now       clock.Instant
	number    uint64
	running   map[uint64]clock.Instant
	started   map[uint64]clock.Instant
	answers   map[uint64]call.Answer
	submitted map[uint64]clock.Instant
}

func newLoadFixture(t *testing.T) *loadFixture {
	s := &loadFixture{
		Core: New("r", "d"), now: clock.Instant(time.Hour), running: map[uint64]clock.Instant{}, started: map[uint64]clock.Instant{},
		answers: map[uint64]call.Answer{}, submitted: map[uint64]clock.Instant{},
	}
	service := fleet.Service{Name: "s", QueueLimit: 18, Profile: fleet.UpstreamProfile{ColdRate: 17}}
	assert.Assert(t, s.SetView(s.now, &fleet.Change{To: 1, Full: true, Preset: &fleet.Preset{Services: []fleet.Service{service}}}))
	s.SetLease(s.now, 1, clock.Never, clock.Never)
	s.Announce(s.now, fleet.Upstream{Name: "u", Service: "s", Boot: "1", Slots: testSlots, ColdSlots: testSlots})
	return s
}

// submitCall submits a call and returns its number.
func (s *loadFixture) submitCall(change func(c *call.Call)) uint64 {
	s.number++
	c := call.Call{
		Number: s.number, RequestID: fmt.Sprint(s.number), Service: "s", Operation: "o", Method: "GET", Idempotent: true, Priority: 1,
		Deadline: s.now.Add(testDeadline), Objective: s.now.Add(testObjective),
	}
	if change != nil {
		change(&c)
	}
	s.submitted[s.number] = s.now
	s.Submit(s.now, Ticket{Link: 1, Number: s.number}, c)
	s.collect()
	return s.number
}

func (s *loadFixture) collect() {
	out := s.Take()
	for _, run := range out.Runs {
		s.running[run.ID] = s.now.Add(testRunTime)
		s.started[run.Call.Number] = s.now
	}
	for _, reply := range out.Replies {
		s.answers[reply.Ticket.Number] = reply.Answer
	}
}

// advance advances time in steps of a millisecond and completes runs when they
// are due.
func (s *loadFixture) advance(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(time.Millisecond) {
		for id, due := range s.running {
			if due <= s.now {
				delete(s.running, id)
				s.Complete(s.now, Outcome{Run: id, Answer: call.Answer{Verdict: verdict.Ran, Status: 200}, Health: admission.Good})
				s.collect()
			}
		}
		s.Tick(s.now)
		s.collect()
		if each != nil {
			each()
		}
	}
}

// TestBurstOverCapacity offers twice the upstream's capacity. Requests that run
// must have started within their objective, the upstream must stay busy, and
// every request must be answered before its deadline.
func TestBurstOverCapacity(t *testing.T) {
	s := newLoadFixture(t)
	s.advance(2*time.Second, func() {
		if s.now%clock.Instant(12500*time.Microsecond) < clock.Instant(time.Millisecond) {
			s.submitCall(nil)
		}
	})
	asked := s.number
	s.advance(testDeadline, nil)
	ran := 0
	for number := uint64(1); number <= asked; number++ {
		answer, ok := s.answers[number]
		assert.Assert(t, ok, "request %d has no answer", number)
		if answer.Verdict == verdict.Ran {
			ran++
			assert.Assert(t, s.started[number].Sub(s.submitted[number]) <= testObjective, "request %d started after %v", number, s.started[number].Sub(s.submitted[number]))
		}
	}
	assert.Assert(t, ran >= 70, "%d of %d ran; the capacity is 80", ran, asked)
}

// TestNestedCallsUnderFullParents checks that a nested call goes ahead of a
// queue of other calls, since its parent occupies a slot elsewhere while it
// waits.
func TestNestedCallsUnderFullParents(t *testing.T) {
	s := newLoadFixture(t)
	for range testSlots + 6 {
		s.submitCall(nil)
	}
	nested := s.submitCall(func(c *call.Call) { c.Nested = true })
	last := s.number - 1
	s.advance(testRunTime+2*time.Millisecond, nil)
	assert.Assert(t, s.started[nested] > 0, "the nested call waits")
	assert.Assert(t, s.started[last] == 0, "a call that came before it ran at the same time")
}

// TestUrgentRequestEvictsFromFullQueue checks that a request of high
// priority evicts the last of a full queue of low-priority requests, which is
// refused as not-run.
func TestUrgentRequestEvictsFromFullQueue(t *testing.T) {
	s := newLoadFixture(t)
	lowPriority := func(c *call.Call) { c.Priority, c.Objective = 2, s.now.Add(time.Hour); c.Deadline = c.Objective }
	for range testSlots + 18 {
		s.submitCall(lowPriority)
	}
	last := s.number
	urgent := s.submitCall(func(c *call.Call) { c.Priority, c.Objective = 0, s.now.Add(time.Hour); c.Deadline = c.Objective })
	assert.Equal(t, s.answers[last].Verdict, verdict.NotRun)
	_, refused := s.answers[urgent]
	assert.Assert(t, !refused)
	s.advance(testRunTime+2*time.Millisecond, nil)
	assert.Assert(t, s.started[urgent] > 0)
}

// TestLateRequestsGetOnlyFreeSlots checks that a request whose objective has
// passed, such as a caller's resend, starts at once on a free slot, and is
// otherwise refused after maxLateWait.
func TestLateRequestsGetOnlyFreeSlots(t *testing.T) {
	s := newLoadFixture(t)
	late := func(c *call.Call) { c.Objective = s.now.Add(-time.Second) }
	free := s.submitCall(late)
	assert.Assert(t, s.started[free] > 0)
	for range testSlots {
		s.submitCall(nil)
	}
	waiting := s.submitCall(late)
	s.advance(maxLateWait+5*time.Millisecond, nil)
	assert.Equal(t, s.answers[waiting].Verdict, verdict.NotRun)
}

// TestColdUpstreamIsPaced offers far more than the capacity of a cold upstream
// and checks the number of calls that start within any second.
func TestColdUpstreamIsPaced(t *testing.T) {
	s := newLoadFixture(t)
	s.Heartbeat(s.now, &Heartbeat{Upstream: s.upstream, ColdFor: 3 * time.Second})
	s.advance(3*time.Second, func() { s.submitCall(nil) })
	var starts []clock.Instant
	for _, at := range s.started {
		starts = append(starts, at)
	}
	most := 0
	for _, from := range starts {
		count := 0
		for _, at := range starts {
			if at >= from && at < from.Add(time.Second) {
				count++
			}
		}
		most = max(most, count)
	}
	assert.Assert(t, most <= 17+maxPaceExcess, "%d in one second", most)
	assert.Assert(t, len(starts) >= 45, "%d in three seconds", len(starts))
}

// maxPaceExcess is how many requests beyond the rate may start within one
// second.
const maxPaceExcess = 3
