package fsm

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

// TestDepartureOutlivesARouterRestart lets an upstream announce its departure and then
// restarts the router beside it. An announcement that was sent before the departure
// and arrives late must not make the upstream eligible again; its next boot is eligible.
func TestDepartureOutlivesARouterRestart(t *testing.T) {
	s := NewState()
	apply := func(c *Command) {
		t.Helper()
		result, _ := s.Apply(1, c)
		assert.Assert(t, result.Accepted, result.Reason)
	}
	register := func(session fleet.Session, boot, departed string) {
		t.Helper()
		apply(&Command{UpdateRouter: &UpdateRouter{Router: fleet.Router{
			ID: "r", Session: session, DepartedBoot: departed, Leaving: departed != "", Upstream: fleet.Upstream{Name: "u", Service: "s", Boot: boot},
		}}})
	}
	eligible := func() bool { return s.View.Eligible(s.View.Routers["r"]) }
	apply(&Command{OpenSession: &OpenSession{Nonce: "1", Router: fleet.Router{ID: "r"}}})
	register(1, "a", "")
	assert.Assert(t, eligible())
	register(1, "a", "a")
	assert.Assert(t, !eligible())

	apply(&Command{OpenSession: &OpenSession{Nonce: "2", Router: fleet.Router{ID: "r", Upstream: fleet.Upstream{Name: "u", Service: "s", Boot: "a"}}}})
	assert.Assert(t, !eligible(), "the departed upstream is in use after the router's restart")
	apply(&Command{OpenSession: &OpenSession{Nonce: "3", Router: fleet.Router{ID: "r"}}})
	assert.Equal(t, s.View.Routers["r"].DepartedBoot, "a")
	apply(&Command{OpenSession: &OpenSession{Nonce: "4", Router: fleet.Router{ID: "r", Upstream: fleet.Upstream{Name: "u", Service: "s", Boot: "b"}}}})
	assert.Assert(t, eligible(), "another start of the upstream")
}
