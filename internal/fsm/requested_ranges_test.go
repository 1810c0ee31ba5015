package fsm

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

// TestRangesWaitForTheRouterIfGrantedByRequest restarts an upstream whose ranges are granted
// by request. A grant that was meant for its earlier start may have reached the present
// one, so that only the router beside it can tell when the ranges are free, or the end of
// the router's session.
func TestRangesWaitForTheRouterIfGrantedByRequest(t *testing.T) {
	for _, mechanism := range []fleet.GrantMechanism{fleet.GrantByHeartbeat, fleet.GrantByRequest} {
		s := NewState()
		apply := func(c *Command) {
			t.Helper()
			result, _ := s.Apply(1, c)
			assert.Assert(t, result.Accepted, result.Reason)
		}
		register := func(session fleet.Session, boot string) {
			apply(&Command{UpdateRouter: &UpdateRouter{Router: fleet.Router{ID: "r", Session: session, Upstream: fleet.Upstream{Name: "u", Service: "s", Boot: boot}}}})
		}
		free := func() bool { return s.View.KeySpaces["s"].Find(5).Phase == fleet.ShardFree }
		service := fleet.Service{Name: "s", Keyed: true, Ranged: true, Profile: fleet.UpstreamProfile{GrantsBy: mechanism}}
		apply(&Command{OperatorChange: &OperatorChange{CommandID: "c", Unconditional: true, Preset: &fleet.Preset{Name: "p", Services: []fleet.Service{service}}}})
		apply(&Command{OpenSession: &OpenSession{Nonce: "1", Router: fleet.Router{ID: "r"}}})
		register(1, "a")
		space := fleet.NewKeySpace("s")
		space.LastEpoch = 1
		space.Ranges[0] = fleet.KeyRange{Last: fleet.KeyCount - 1, Phase: fleet.ShardGranted, Owner: "r", Boot: "a", Epoch: 1}
		apply(&Command{AssignRanges: &AssignRanges{Next: *space}})
		apply(&Command{OpenSession: &OpenSession{Nonce: "2", Router: fleet.Router{ID: "r"}}})
		register(2, "b")
		assert.Equal(t, free(), mechanism == fleet.GrantByHeartbeat)
		apply(&Command{CloseSessions: &CloseSessions{Term: 1, Sessions: []fleet.Session{1}}})
		assert.Equal(t, free(), mechanism == fleet.GrantByHeartbeat, "the present process may have sent grants too")
		apply(&Command{CloseSessions: &CloseSessions{Term: 1, Sessions: []fleet.Session{2}}})
		assert.Assert(t, free())
	}
}
