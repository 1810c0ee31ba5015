package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// newAdmitting returns a table of eight executors in one data centre.
func newAdmitting() *simulation {
	s := newSimulation(1, "g", "dc0", testRouters(8, 1)...)
	s.table.settings.Reports = true
	return s
}

func (s *simulation) reportWait(i int, wait time.Duration) {
	load := call.Load{InFlight: 9, Limit: 9, Latency: 100 * time.Millisecond, Wait: wait}
	if wait == 0 {
		load.InFlight = 0
	}
	s.table.Reported(testRouter(i, "").ID, s.now, load)
}

func (s *simulation) admit(exclude ...fleet.RouterID) Admission {
	return s.table.Admit(service, s.now, StartLimit{By: s.now.Add(400 * time.Millisecond)}, exclude)
}

// TestUnknownExecutorsMayHaveRoom guards against a gateway that sends all calls to the one
// executor that has just reported, while the others are idle and have not.
func TestUnknownExecutorsMayHaveRoom(t *testing.T) {
	s := newAdmitting()
	s.reportWait(0, 0)
	assert.Assert(t, !s.admit().Forced)
	for i := 1; i < 7; i++ {
		s.reportWait(i, time.Second)
	}
	got := s.admit()
	assert.Assert(t, got.Forced && got.Router.ID == testRouter(0, "").ID, "%+v", got)
}

// TestForcedCallsGoToTheBetterOfTwo has two of eight executors with room, of which one has
// far longer run times. Drawn at random it would get half of the calls.
func TestForcedCallsGoToTheBetterOfTwo(t *testing.T) {
	s := newAdmitting()
	for i := range 8 {
		s.reportWait(i, time.Second)
	}
	s.reportWait(2, 0)
	s.table.Reported(testRouter(5, "").ID, s.now, call.Load{Limit: 9, Latency: time.Second})
	for range 50 {
		got := s.admit()
		assert.Assert(t, got.Forced && got.Router.ID == testRouter(2, "").ID, "%+v", got)
	}
}

// TestProbesSkipExecutorsThatCannotServe has eight full executors, one of which fails and
// one of which was asked already. Neither may be tried for the sake of its report.
func TestProbesSkipExecutorsThatCannotServe(t *testing.T) {
	s := newAdmitting()
	for i := range 8 {
		s.reportWait(i, time.Second)
	}
	s.table.Failed(s.table.Sent(testRouter(3, "").ID, s.now), s.now)
	tried := 0
	for range 20 * probeShare {
		if got := s.admit(testRouter(4, "").ID); got.Forced {
			tried++
			assert.Assert(t, got.Router.ID != testRouter(3, "").ID && got.Router.ID != testRouter(4, "").ID, "%s", got.Router.ID)
		}
	}
	assert.Assert(t, tried >= 15, "tried %d times", tried)
}

// TestSlowdownMultipliesRunAndWait guards against a run time that follows neither the mean of
// the last runs nor the stated slowdown at once. Of the slowdown, half counts after 200 ms.
func TestSlowdownMultipliesRunAndWait(t *testing.T) {
	s := newAdmitting()
	id := testRouter(0, "").ID
	load := call.Load{InFlight: 9, Limit: 9, Latency: 100 * time.Millisecond, Wait: 50 * time.Millisecond, Slowdown: 1}
	s.table.Reported(id, s.now, load)
	s.now = s.now.Add(50 * time.Millisecond)
	load.Latency, load.Slowdown = 150*time.Millisecond, 2
	s.table.Reported(id, s.now, load)
	e := s.table.executors[id]
	assert.Equal(t, time.Duration(e.reportedRun(0)), 300*time.Millisecond)
	assert.Equal(t, time.Duration(e.reportedRun(slowdownHalfLife)), 225*time.Millisecond)
	assert.Equal(t, time.Duration(e.reportedWait(0)), 100*time.Millisecond)
	assert.Equal(t, time.Duration(e.reportedWait(slowdownHalfLife)), 75*time.Millisecond)
}

// TestSilentExecutorsHaveNoRoom guards against calls that stay in a full data centre because
// one of its executors is failing and another reports nothing.
func TestSilentExecutorsHaveNoRoom(t *testing.T) {
	s := newSimulation(1, "g", "dc0", testRouters(8, 2)...)
	s.table.settings.Reports = true
	for i := range 8 {
		s.reportWait(i, time.Duration((i+1)%2)*time.Second)
	}
	s.reportWait(0, 0)
	s.table.Failed(s.table.Sent(testRouter(0, "").ID, s.now), s.now)
	s.table.executors[testRouter(2, "").ID].loadAt = 0
	for range 20 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.table.Choose(service, s.now, nil)
	}
	assert.Assert(t, s.table.pool(service).overflow.active)
}

// TestCallsOnTheLinkAreCounted guards against a report that hides the calls that had not
// arrived at the executor when it was made.
func TestCallsOnTheLinkAreCounted(t *testing.T) {
	s := newAdmitting()
	id := testRouter(0, "").ID
	s.reportWait(0, 0)
	var calls []*Outstanding
	for range 3 {
		calls = append(calls, s.table.Sent(id, s.now))
		s.now = s.now.Add(6 * time.Millisecond)
	}
	s.reportWait(0, 0)
	assert.Equal(t, s.table.executors[id].sentSince, 2)
	s.table.Answered(calls[2], s.now, s.table.executors[id].load)
	assert.Equal(t, s.table.executors[id].sentSince, 0)
}

// TestOldWaitsDoNotCount guards against a long wait that is still counted when its report is
// too old for what it says of requests.
func TestOldWaitsDoNotCount(t *testing.T) {
	s := newAdmitting()
	s.reportWait(0, 9*time.Second)
	s.now = s.now.Add(waitReportAge + time.Millisecond)
	e := s.table.executors[testRouter(0, "").ID]
	assert.Equal(t, time.Duration(e.reportedEstimate(s.now, s.table.pool(service))), 100*time.Millisecond)
}
