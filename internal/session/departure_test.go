package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// TestEarlierDepartureIsKept starts a router whose upstream has announced its departure
// to the router's earlier process. A late announcement must not undo that; the departure
// is forgotten only after departureMemory, or with another start of the upstream.
func TestEarlierDepartureIsKept(t *testing.T) {
	now := clock.Instant(time.Hour)
	u := fleet.Upstream{Name: "u", Service: "s", Boot: "a"}
	start := func() *Core {
		c := New(fleet.Router{ID: "r"}, 300*time.Millisecond, "n")
		c.Connected(now)
		c.SetRegistration(now, u, false, false)
		shown := fleet.Router{ID: "r", Session: 2, DepartedBoot: "a"}
		c.Receive(now, &ControlMessage{Session: 2, Change: &fleet.Change{Full: true, To: 5, Routers: []fleet.Router{shown}}})
		return c
	}
	due := func(c *Core, at clock.Instant) fleet.Router {
		t.Helper()
		up, ok := c.DueRenewal(at)
		assert.Assert(t, ok && up.Registers)
		return up.Router
	}
	c := start()
	assert.Equal(t, due(c, now.Add(time.Second)).DepartedBoot, "a")
	c.SetRegistration(now, u, false, false) // an earlier announcement that arrives late
	assert.Equal(t, due(c, now.Add(2*time.Second)).DepartedBoot, "a")
	assert.Equal(t, due(c, now.Add(departureMemory)).DepartedBoot, "")

	c = start()
	c.SetRegistration(now, fleet.Upstream{Name: "u", Service: "s", Boot: "b"}, false, false)
	assert.Equal(t, due(c, now.Add(time.Second)).DepartedBoot, "")

	c = start() // this process hears of the departure itself, and of the return
	c.SetRegistration(now, u, true, true)
	assert.Equal(t, due(c, now.Add(departureMemory)).DepartedBoot, "a")
	c.SetRegistration(now, u, false, false)
	assert.Equal(t, due(c, now.Add(2*departureMemory)).DepartedBoot, "")
}

// TestRegistrationWaitsForTheSession checks that a router registers nothing before the
// view shows its session: the registration would overwrite an earlier departure.
func TestRegistrationWaitsForTheSession(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := New(fleet.Router{ID: "r"}, 300*time.Millisecond, "n")
	c.Connected(now)
	c.Receive(now, &ControlMessage{Session: 2})
	c.SetRegistration(now, fleet.Upstream{Name: "u", Boot: "a"}, false, false)
	up, ok := c.DueRenewal(now.Add(time.Second))
	assert.Assert(t, ok && c.Session() == 2 && !up.Registers)
}

// Guards against a departed upstream that is in use again once a late heartbeat arrives: if
// upstreams state their start times, a departure holds for good, since a boot never comes back.
func TestDepartureOfABootHoldsForGood(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := New(fleet.Router{ID: "r"}, 300*time.Millisecond, "n")
	c.Connected(now)
	shown := fleet.Router{ID: "r", Session: 2, DepartedBoot: "a", EarlierStart: 1000}
	c.Receive(now, &ControlMessage{Session: 2, Change: &fleet.Change{Full: true, To: 5, Routers: []fleet.Router{shown}}})
	late := now.Add(10 * departureMemory)
	up, ok := c.DueRenewal(late)
	assert.Assert(t, ok && !up.Registers, "the registration stays as it is")
	c.SetRegistration(late, fleet.Upstream{Name: "u", Service: "s", Boot: "a", StartMillis: 1000}, false, false)
	up, ok = c.DueRenewal(late.Add(time.Second))
	assert.Assert(t, ok && up.Registers)
	assert.Equal(t, up.Router.DepartedBoot, "a")
}
