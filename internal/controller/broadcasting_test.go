package controller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

// Many routers without a view attach at once, as after a restart of control. Full views
// must be sent at a limited rate and share one change, routers without one must not get
// a lease, and all must have the view within a second.
func TestFullViewsAreRateLimited(t *testing.T) {
	const routers, full, interval = 300, 64, 100 * time.Millisecond
	core := (&simulation{timing: timing()}).core()
	now := clock.Instant(time.Hour)
	core.SetLeadership(now, controller.Leadership{IsLeader: true, Term: 1, LeaseUntil: clock.Never})
	for i := range routers {
		router := fleet.Router{ID: fleet.RouterID(fmt.Sprint(i))}
		core.ApplyCommitted(now, 1, &fsm.Command{OpenSession: &fsm.OpenSession{Router: router, Nonce: fmt.Sprint(i)}})
	}
	core.Take()
	views, changes := map[controller.StreamID]bool{}, map[*fleet.Change]bool{}
	for step := range 10 {
		sent := 0
		for i := range routers {
			id := controller.StreamID(i)
			core.HandleRenewal(now, id, &session.RouterMessage{Session: fleet.Session(i + 1), Sequence: uint64(step), Router: fleet.Router{ID: fleet.RouterID(fmt.Sprint(i))}})
			for _, send := range core.Take().Sends {
				if c := send.Message.Change; c != nil && c.Full {
					sent++
					views[id], changes[c] = true, true
				}
				assert.Assert(t, !send.Message.Lease || views[id], "a lease without a view")
			}
		}
		assert.Assert(t, sent <= full, "%d full views at once", sent)
		now = now.Add(interval)
	}
	assert.Equal(t, len(views), routers)
	assert.Equal(t, len(changes), 1, "all share one full view")
}

// Of many changes committed at one moment the first is sent at once, and the others are
// merged into one change that is sent when the next broadcast is due.
func TestChangesAreBatched(t *testing.T) {
	core := (&simulation{timing: timing()}).core()
	now := clock.Instant(time.Hour)
	core.SetLeadership(now, controller.Leadership{IsLeader: true, Term: 1, LeaseUntil: clock.Never})
	for i := range 100 {
		core.ApplyCommitted(now, 1, &fsm.Command{OpenSession: &fsm.OpenSession{Router: fleet.Router{ID: fleet.RouterID(fmt.Sprint(i))}, Nonce: fmt.Sprint(i)}})
	}
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		core.HandleRenewal(now, controller.StreamID(i), &session.RouterMessage{Session: fleet.Session(i + 1), Router: fleet.Router{ID: fleet.RouterID(fmt.Sprint(i))}})
	}
	now = now.Add(time.Second)
	core.Tick(now)
	core.Take()
	before := core.State().View.Version
	for i := range 50 {
		core.ApplyCommitted(now, 1, &fsm.Command{OperatorChange: &fsm.OperatorChange{
			CommandID: fmt.Sprint(i), Expected: core.State().View.Config, DataCentre: &fleet.DataCentreSetting{Name: "d", Out: i%2 == 0},
		}})
	}
	assert.Equal(t, changesIn(core.Take().Sends, before, before+1), 100, "the first change")
	assert.Assert(t, core.Deadline() < now.Add(10*time.Millisecond))
	core.Tick(core.Deadline())
	assert.Equal(t, changesIn(core.Take().Sends, before+1, before+50), 100, "the others, merged into one")
}

// changesIn returns the number of messages with the change between two versions.
func changesIn(sends []controller.StreamMessage, from, to fleet.Version) int {
	n := 0
	for _, send := range sends {
		if c := send.Message.Change; c != nil && c.From == from && c.To == to {
			n++
		}
	}
	return n
}
