package fsm

import (
	"fmt"
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

// Guards against a router that has restarted and registers an ended boot of its upstream, whose
// heartbeat arrived late: the ranges of the present boot stay, whichever session they belong to.
func TestLateBootAfterARouterRestartFreesNothing(t *testing.T) {
	s := NewState()
	apply := func(c *Command) {
		t.Helper()
		result, _ := s.Apply(1, c)
		assert.Assert(t, result.Accepted, result.Reason)
	}
	boot := func(name string, start int64) fleet.Upstream {
		return fleet.Upstream{Name: name, Service: "s", Boot: name, Slots: 4, StartMillis: start}
	}
	preset := &fleet.Preset{Name: "p", Services: []fleet.Service{{Name: "s", Ranged: true, Keyed: true}}}
	apply(&Command{OperatorChange: &OperatorChange{CommandID: "c", Unconditional: true, Preset: preset}})
	apply(&Command{OpenSession: &OpenSession{Nonce: "1", Router: fleet.Router{ID: "r", Upstream: boot("later", 2000)}}})
	space := fleet.NewKeySpace("s")
	space.Ranges[0] = fleet.KeyRange{Last: fleet.KeyCount - 1, Phase: fleet.ShardGranted, Owner: "r", Boot: "later", Epoch: 1}
	s.View.KeySpaces["s"] = space
	held := func() bool {
		ranges := s.View.KeySpaces["s"].Ranges
		return len(ranges) == 1 && ranges[0].HeldBy("r", "later")
	}

	apply(&Command{OpenSession: &OpenSession{Nonce: "2", Router: fleet.Router{ID: "r"}}})
	apply(&Command{UpdateRouter: &UpdateRouter{Router: fleet.Router{ID: "r", Session: 2, Upstream: boot("earlier", 1000)}}})
	assert.Assert(t, held(), "registered by the present session")
	apply(&Command{CloseSessions: &CloseSessions{Term: 1, Sessions: []fleet.Session{1}}})
	assert.Assert(t, held(), "the session that the upstream was registered under has ended")
	apply(&Command{UpdateRouter: &UpdateRouter{Router: fleet.Router{ID: "r", Session: 2, Upstream: boot("next", 3000)}}})
	assert.Assert(t, !held(), "a later boot")
}

// Guards against a departed upstream that is used again, since its router was down for longer
// than its session lasts: what the router knew is lost with its registration.
func TestDepartureOutlivesTheEndOfTheSession(t *testing.T) {
	s := NewState()
	apply := func(c *Command) {
		t.Helper()
		result, _ := s.Apply(1, c)
		assert.Assert(t, result.Accepted, result.Reason)
	}
	u := fleet.Upstream{Name: "u", Service: "s", Boot: "u/1000", StartMillis: 1000}
	apply(&Command{OpenSession: &OpenSession{Nonce: "1", Router: fleet.Router{ID: "r", Upstream: u}}})
	apply(&Command{UpdateRouter: &UpdateRouter{Router: fleet.Router{ID: "r", Session: 1, Upstream: u, Leaving: true, DepartedBoot: u.Boot}}})
	apply(&Command{CloseSessions: &CloseSessions{Term: 1, Sessions: []fleet.Session{1}}})
	assert.Equal(t, len(s.View.Routers), 0)
	apply(&Command{OpenSession: &OpenSession{Nonce: "2", Router: fleet.Router{ID: "r", Upstream: u}}})
	assert.Assert(t, !s.View.Eligible(s.View.Routers["r"]), "the departed upstream is in use")
	assert.Equal(t, s.View.Routers["r"].EarlierStart, int64(1000))
}

// Routers that never come back are forgotten in the end.
func TestFormerRoutersAreBounded(t *testing.T) {
	s := NewState()
	for i := range maxFormerRouters + 5 {
		name := fleet.RouterID(fmt.Sprint("r", i))
		u := fleet.Upstream{Name: "u", Service: "s", Boot: "u", StartMillis: 1000}
		s.Apply(1, &Command{OpenSession: &OpenSession{Nonce: string(name), Router: fleet.Router{ID: name, Upstream: u}}})
		s.Apply(1, &Command{CloseSessions: &CloseSessions{Term: 1, Sessions: []fleet.Session{s.LastSession}}})
	}
	assert.Equal(t, len(s.FormerRouters), maxFormerRouters)
	assert.Equal(t, s.FormerRouters[0].ID, fleet.RouterID("r5"))
}
