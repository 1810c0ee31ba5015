package router

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/memory"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/upstream"
	"endivespring/internal/verdict"
)

// manualClock advances only when the test sets it.
type manualClock struct{ now clock.Instant }

func (c *manualClock) Now() clock.Instant { return c.now }

// discardEvents is a recorder that discards events.
type discardEvents struct{}

func (discardEvents) Record(*event.Definition, ...event.Field) {}

// answerRecorder is an answer sink that records the answers of a link.
type answerRecorder []call.Answer

func (c *answerRecorder) answer(_ context.Context, a call.Answer) bool {
	*c = append(*c, a)
	return true
}

func (c *answerRecorder) report(context.Context, *call.Load) bool { return true }

func (c *answerRecorder) retire(context.Context) {}

func (c *answerRecorder) finish(context.Context) {}

// executorHarness is an executor duty without goroutines: the test calls its steps.
type executorHarness struct {
	*executorDuty
	ctx     context.Context
	time    *manualClock
	answers *answerRecorder
}

func newExecutorHarness(capacity int) *executorHarness {
	now := &manualClock{now: clock.Instant(time.Hour)}
	answers := &answerRecorder{}
	s := &executorHarness{ctx: context.Background(), time: now, answers: answers, executorDuty: &executorDuty{
		core: executor.New("self", "dc"), clock: now, events: discardEvents{},
		outcomes: ring.New[executor.Outcome]("outcomes", capacity, ring.Wait), runs: ring.New[outboundRun]("runs", capacity, ring.Refuse),
		delegations: ring.New[executor.Delegation]("delegations", capacity, ring.Refuse), aborts: ring.New[executor.Abort]("aborts", capacity, ring.DropOldest),
		releases: ring.New[[]fsm.ShardRelease]("releases", capacity, ring.Refuse), ranges: newRangeRings(), registrations: ring.New[registration]("registrations", 8, ring.DropOldest), rangeUpdates: ring.New[rangeUpdate]("range-news", 64, ring.Refuse),
		drained: ring.New[struct{}]("drained", 1, ring.DropOldest), cancels: map[uint64]context.CancelFunc{}, departures: departures{},
		sinks: map[uint64]answerSink{1: answers}, contactTimeout: 3 * time.Second, startSender: func() {},
	}}
	preset := &fleet.Preset{Services: []fleet.Service{{Name: "s", Shards: 2, QueueLimit: 4, RecordWindow: time.Minute}}}
	s.lease(&fleet.Change{Full: true, To: 1, Preset: preset, Shards: []fleet.Shard{shardIn(0, fleet.ShardGranted), shardIn(1, fleet.ShardGranted)},
		Routers: []fleet.Router{{ID: "other", Upstream: fleet.Upstream{Name: "v", Service: "s"}}}})
	s.announced("1")
	return s
}

func shardIn(number uint32, phase fleet.ShardPhase) fleet.Shard {
	return fleet.Shard{ID: fleet.ShardID{Service: "s", Number: number}, Phase: phase, Owner: "self", Session: 1, Epoch: 1}
}

func (s *executorHarness) lease(change *fleet.Change) {
	until := s.time.now.Add(time.Second)
	s.update(&session.Update{Session: 1, Change: change, OwnershipUntil: until, ViewUntil: until})
	s.dispatch(s.ctx)
}

func (s *executorHarness) announced(boot string) {
	s.handleNotification(s.ctx, &upstream.Notification{Upstream: fleet.Upstream{Name: "u", Service: "s", Address: "a", Boot: boot, Slots: 2, ColdSlots: 2}})
	s.dispatch(s.ctx)
}

func (s *executorHarness) call(number uint64, id string) {
	s.submit(&submission{link: 1, call: call.Call{Number: number, RequestID: id, Service: "s", Sharded: true, Deadline: s.time.now.Add(time.Second)}})
	s.dispatch(s.ctx)
}

// TestAnnouncementSentBeforeLeave checks that an announcement in flight when its
// upstream left does not bring the upstream back, while a later one or one of a
// new boot does.
func TestAnnouncementSentBeforeLeave(t *testing.T) {
	s := newExecutorHarness(8)
	leave := func() { s.handleNotification(s.ctx, &upstream.Notification{Leaving: true}) }
	leave()
	s.announced("1")
	assert.Assert(t, s.upstreamGone)
	s.announced("2")
	assert.Assert(t, !s.upstreamGone)
	leave()
	s.time.now = s.time.now.Add(s.contactTimeout)
	s.announced("2")
	assert.Assert(t, !s.upstreamGone)
	s.time.now = s.time.now.Add(s.contactTimeout)
	s.tick(s.ctx)
	assert.Assert(t, s.upstreamGone, "lost")
	s.announced("2")
	assert.Assert(t, !s.upstreamGone, "announced again")
}

// TestFullRingsRefuse checks that a run is refused as not run, without blocking the
// duty, if the rings to the senders and to the gateway are full.
func TestFullRingsRefuse(t *testing.T) {
	s := newExecutorHarness(1)
	for i, id := range []string{"a", "b", "c"} {
		s.call(uint64(i+1), id)
	}
	refused := 0
	for _, answer := range *s.answers {
		assert.Equal(t, answer.Verdict, verdict.NotRun)
		refused++
	}
	assert.Equal(t, s.runs.Depth()+s.delegations.Depth()+refused, 3)
	assert.Assert(t, refused > 0)
}

// TestReleasesAreNotLost checks that releases refused by a full ring are queued
// again.
func TestReleasesAreNotLost(t *testing.T) {
	s := newExecutorHarness(1)
	for number := range uint32(2) {
		s.lease(&fleet.Change{From: fleet.Version(1 + number), To: fleet.Version(2 + number), Shards: []fleet.Shard{shardIn(number, fleet.ShardRevoking)}})
	}
	assert.Equal(t, s.sleep(), releaseRetry)
	first, err := s.releases.Take(s.ctx)
	assert.NilError(t, err)
	s.dispatch(s.ctx)
	second, err := s.releases.Take(s.ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(first)+len(second), 2)
}

// TestAbortUnblocksTheSender checks that a run past its deadline unblocks its sender and
// is cancelled at the upstream.
func TestAbortUnblocksTheSender(t *testing.T) {
	s := newExecutorHarness(8)
	s.call(1, "a")
	run, err := s.runs.Take(s.ctx)
	assert.NilError(t, err)
	assert.NilError(t, run.ctx.Err())
	s.time.now = s.time.now.Add(time.Second)
	s.tick(s.ctx)
	s.dispatch(s.ctx)
	assert.Assert(t, run.ctx.Err() != nil)
	assert.Equal(t, s.aborts.Depth(), 1)
	s.complete(executor.Outcome{Run: run.run.ID, Answer: call.Refusal(&run.run.Call, verdict.MayHaveRun, "")})
	assert.Equal(t, len(s.cancels), 0)
}

// TestDrain checks when a stopping executor is drained: no call is running, and its
// shards are released or, if no control process answers, its lease has expired.
func TestDrain(t *testing.T) {
	s := newExecutorHarness(8)
	s.call(1, "a")
	run, err := s.runs.Take(s.ctx)
	assert.NilError(t, err)
	s.stopping = true
	s.withdrawUpstream(s.ctx)
	s.dispatch(s.ctx)
	assert.Equal(t, s.drained.Depth(), 0)
	s.complete(executor.Outcome{Run: run.run.ID, Answer: call.Refusal(&run.run.Call, verdict.Ran, "")})
	s.dispatch(s.ctx)
	assert.Equal(t, s.drained.Depth(), 0, "two shards are held")
	assert.Equal(t, s.sleep(), time.Second)
	s.time.now = s.time.now.Add(time.Second)
	s.dispatch(s.ctx)
	assert.Equal(t, s.drained.Depth(), 1)
}

// Guards against calls that are sent to the upstream although their cancellations wait behind
// them on the ring: after the process was held up, all that has arrived counts.
func TestCancellationsAreReadBeforeRunsAreSent(t *testing.T) {
	const calls = 4
	s := newExecutorHarness(2 * calls)
	s.submissions = ring.New[*submission]("submissions", 2*calls, ring.Refuse)
	for number := uint64(1); number <= calls; number++ {
		c := call.Call{Number: number, RequestID: "id", Service: "s", Idempotent: true, Deadline: s.time.now.Add(time.Minute)}
		assert.NilError(t, s.submissions.Put(s.ctx, &submission{link: 1, call: c}))
	}
	for number := uint64(1); number <= calls; number++ {
		assert.NilError(t, s.submissions.Put(s.ctx, &submission{link: 1, cancel: number}))
	}
	first, err := s.submissions.Take(s.ctx)
	assert.NilError(t, err)
	s.submitAll(first)
	s.dispatch(s.ctx)
	assert.Equal(t, s.runs.Depth(), 0)
	assert.Assert(t, s.core.Idle())
}

// Guards against a run that is sent although it was cancelled while it waited for a sender.
func TestCancelledRunIsNotSent(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	now := clock.NewMonotonic()
	d := &senderDuty{
		sender: upstream.NewSender(now, discardEvents{}, 1<<10, memory.NewBudget(1<<20), upstream.NativeDialect{}),
		runs:   ring.New[outboundRun]("runs", 1, ring.Refuse), outcomes: ring.New[executor.Outcome]("outcomes", 1, ring.Wait),
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	until := now.Now().Add(time.Minute)
	run := executor.Run{ID: 7, Upstream: fleet.Upstream{Address: listener.Addr().String()}, Call: call.Call{RequestID: "a", Deadline: until}, Deadline: until, Fence: until}
	assert.NilError(t, d.runs.Put(ctx, outboundRun{ctx: cancelled, run: run}))
	go func() { _ = d.Run(ctx) }()
	outcome, err := d.outcomes.Take(ctx)
	assert.NilError(t, err)
	assert.Equal(t, outcome.Run, uint64(7))
	assert.Equal(t, outcome.Answer.Verdict, verdict.NotRun)
	assert.Equal(t, outcome.Answer.Reason, verdict.ReasonCancelled)
}
