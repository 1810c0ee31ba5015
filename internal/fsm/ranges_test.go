package fsm

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

const testTerm = 1

// rangeState is a state in which router a's upstream holds the lower half of
// the keys of service s, and router b's the upper half.
func rangeState(t *testing.T) *State {
	s := NewState()
	for _, name := range []fleet.RouterID{"a", "b"} {
		s.Apply(testTerm, openOf(name, "1"))
	}
	result, _ := s.Apply(testTerm, &Command{AssignRanges: &AssignRanges{Next: fleet.KeySpace{Service: "s", LastEpoch: 2, Ranges: []fleet.KeyRange{
		{First: 0, Last: 32767, Phase: fleet.ShardGranted, Owner: "a", Boot: "a1", Epoch: 1},
		{First: 32768, Last: fleet.Keys - 1, Phase: fleet.ShardGranted, Owner: "b", Boot: "b1", Epoch: 2},
	}}}})
	assert.Assert(t, result.Accepted, result.Reason)
	return s
}

func openOf(name fleet.RouterID, start string) *Command {
	return &Command{OpenSession: &OpenSession{Nonce: string(name) + start, Router: fleet.Router{
		ID: name, Upstream: fleet.Upstream{Name: "u" + string(name), Service: "s", Boot: string(name) + "1"},
	}}}
}

// reopen opens a session of a router that has started again and does not know
// its upstream yet.
func reopen(s *State, name fleet.RouterID) {
	c := openOf(name, "2")
	c.OpenSession.Router.Upstream = fleet.Upstream{}
	s.Apply(testTerm, c)
}

func closeSession(s *State, session fleet.Session) {
	s.Apply(testTerm, &Command{CloseSessions: &CloseSessions{Term: testTerm, Sessions: []fleet.Session{session}}})
}

func (s *State) holder(key uint32) fleet.RouterID { return s.View.KeySpaces["s"].Find(key).Owner }

// TestRangesOfARestartedRouterOutliveOtherSessions restarts router a and ends
// the session of b meanwhile: a's upstream still holds its keys.
func TestRangesOfARestartedRouterOutliveOtherSessions(t *testing.T) {
	s := rangeState(t)
	reopen(s, "a")
	closeSession(s, s.View.Routers["b"].Session)
	assert.Equal(t, s.holder(5), fleet.RouterID("a"))
	assert.Equal(t, s.holder(40000), fleet.RouterID(""))
}

// TestRangesFollowTheUpstreamOverARestart ends the session that a router had
// before it started again: what its upstream holds goes on if the upstream has
// announced itself to the new process, and is free if it has not.
func TestRangesFollowTheUpstreamOverARestart(t *testing.T) {
	for announced, want := range map[bool]fleet.RouterID{true: "a", false: ""} {
		s := rangeState(t)
		old := s.View.Routers["a"].Session
		reopen(s, "a")
		if announced {
			router := openOf("a", "").OpenSession.Router
			router.Session = s.View.Routers["a"].Session
			s.Apply(testTerm, &Command{UpdateRouter: &UpdateRouter{Router: router}})
		}
		closeSession(s, old)
		assert.Equal(t, s.holder(5), want, "announced %v", announced)
	}
}

// TestAnotherStartHoldsNothing lets another start of the upstream announce
// itself to the same router.
func TestAnotherStartHoldsNothing(t *testing.T) {
	s := rangeState(t)
	router := s.View.Routers["a"]
	router.Upstream.Boot = "a2"
	s.Apply(testTerm, &Command{UpdateRouter: &UpdateRouter{Router: router}})
	assert.Equal(t, s.holder(5), fleet.RouterID(""))
	assert.Equal(t, s.holder(40000), fleet.RouterID("b"))
}

// TestOldPlansAreVoid applies a plan twice, and one for an upstream that is gone.
func TestOldPlansAreVoid(t *testing.T) {
	s := rangeState(t)
	again := &Command{AssignRanges: &AssignRanges{Revision: 0, Next: *s.View.KeySpaces["s"]}}
	result, _ := s.Apply(testTerm, again)
	assert.Assert(t, !result.Accepted)
	next := s.View.KeySpaces["s"].Clone()
	next.Ranges[0].Boot, next.Ranges[0].Epoch, next.LastEpoch = "gone", 3, 3
	result, _ = s.Apply(testTerm, &Command{AssignRanges: &AssignRanges{Revision: next.Revision, Next: *next}})
	assert.Assert(t, !result.Accepted)
}
