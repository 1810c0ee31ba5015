package fsm

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

const testTerm = 1

// newRangeState returns a state in which router a's upstream holds the lower half of the
// keys of service s, and router b's the upper half.
func newRangeState(t *testing.T) *State {
	s := NewState()
	for _, name := range []fleet.RouterID{"a", "b"} {
		s.Apply(testTerm, openSessionCommand(name, "1"))
	}
	result, _ := s.Apply(testTerm, &Command{AssignRanges: &AssignRanges{Next: fleet.KeySpace{Service: "s", LastEpoch: 2, Ranges: []fleet.KeyRange{
		{First: 0, Last: 32767, Phase: fleet.ShardGranted, Owner: "a", Boot: "a1", Epoch: 1},
		{First: 32768, Last: fleet.KeyCount - 1, Phase: fleet.ShardGranted, Owner: "b", Boot: "b1", Epoch: 2},
	}}}})
	assert.Assert(t, result.Accepted, result.Reason)
	return s
}

func openSessionCommand(name fleet.RouterID, start string) *Command {
	return &Command{OpenSession: &OpenSession{Nonce: string(name) + start, Router: fleet.Router{
		ID: name, Upstream: fleet.Upstream{Name: "u" + string(name), Service: "s", Boot: string(name) + "1"},
	}}}
}

// restartRouter opens a session of a restarted router that does not know its upstream
// yet.
func restartRouter(s *State, name fleet.RouterID) {
	c := openSessionCommand(name, "2")
	c.OpenSession.Router.Upstream = fleet.Upstream{}
	s.Apply(testTerm, c)
}

func closeSession(s *State, session fleet.Session) {
	s.Apply(testTerm, &Command{CloseSessions: &CloseSessions{Term: testTerm, Sessions: []fleet.Session{session}}})
}

func (s *State) holder(key uint32) fleet.RouterID { return s.View.KeySpaces["s"].Find(key).Owner }

// TestRangesOfARestartedRouterOutliveOtherSessions guards against ranges that are freed
// while they are held: router a restarts, and before its upstream has announced itself
// again the session of router b is closed. The upstream of a still holds its keys.
func TestRangesOfARestartedRouterOutliveOtherSessions(t *testing.T) {
	s := newRangeState(t)
	restartRouter(s, "a")
	closeSession(s, s.View.Routers["b"].Session)
	assert.Equal(t, s.holder(5), fleet.RouterID("a"))
	assert.Equal(t, s.holder(40000), fleet.RouterID(""))
}

// TestRangesFollowTheUpstreamOverARestart closes the session that a router had before a
// restart. Its upstream keeps its ranges if it has announced itself to the restarted
// router; otherwise they are freed.
func TestRangesFollowTheUpstreamOverARestart(t *testing.T) {
	for announced, want := range map[bool]fleet.RouterID{true: "a", false: ""} {
		s := newRangeState(t)
		old := s.View.Routers["a"].Session
		restartRouter(s, "a")
		if announced {
			router := openSessionCommand("a", "").OpenSession.Router
			router.Session = s.View.Routers["a"].Session
			s.Apply(testTerm, &Command{UpdateRouter: &UpdateRouter{Router: router}})
		}
		closeSession(s, old)
		assert.Equal(t, s.holder(5), want, "announced %v", announced)
	}
}

// TestRestartedUpstreamHoldsNothing checks that an upstream that announces itself with a
// new boot ID loses the ranges of its earlier start.
func TestRestartedUpstreamHoldsNothing(t *testing.T) {
	s := newRangeState(t)
	router := s.View.Routers["a"]
	router.Upstream.Boot = "a2"
	s.Apply(testTerm, &Command{UpdateRouter: &UpdateRouter{Router: router}})
	assert.Equal(t, s.holder(5), fleet.RouterID(""))
	assert.Equal(t, s.holder(40000), fleet.RouterID("b"))
}

// TestOutdatedPlansAreRejected applies a plan twice, and a plan for an upstream that has
// exited.
func TestOutdatedPlansAreRejected(t *testing.T) {
	s := newRangeState(t)
	again := &Command{AssignRanges: &AssignRanges{Revision: 0, Next: *s.View.KeySpaces["s"]}}
	result, _ := s.Apply(testTerm, again)
	assert.Assert(t, !result.Accepted)
	next := s.View.KeySpaces["s"].Clone()
	next.Ranges[0].Boot, next.Ranges[0].Epoch, next.LastEpoch = "gone", 3, 3
	result, _ = s.Apply(testTerm, &Command{AssignRanges: &AssignRanges{Revision: next.Revision, Next: *next}})
	assert.Assert(t, !result.Accepted)
}

// TestPlansMayLeaveOutRanges applies a plan of one changed range, and rejects one that leaves
// keys without a range or in two.
func TestPlansMayLeaveOutRanges(t *testing.T) {
	for name, c := range map[string]struct {
		first, last uint32
		accepted    bool
	}{
		"whole range": {32768, fleet.KeyCount - 1, true}, "part of a range": {40000, fleet.KeyCount - 1, false}, "overlap": {30000, fleet.KeyCount - 1, false},
	} {
		s := newRangeState(t)
		changed := fleet.KeyRange{First: c.first, Last: c.last, Phase: fleet.ShardRevoking, Owner: "b", Boot: "b1", Epoch: 2}
		result, _ := s.Apply(testTerm, &Command{AssignRanges: &AssignRanges{
			Revision: s.View.KeySpaces["s"].Revision, Next: fleet.KeySpace{Service: "s", LastEpoch: 2, Ranges: []fleet.KeyRange{changed}},
		}})
		assert.Equal(t, result.Accepted, c.accepted, name)
		assert.Assert(t, s.View.KeySpaces["s"].Valid())
		assert.Equal(t, s.holder(5), fleet.RouterID("a"), name)
	}
}
