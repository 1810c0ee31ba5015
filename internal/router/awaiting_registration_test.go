package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

// Guards against two holders of a key after a restart of the router: control closes the
// session of the earlier process before the new one has registered the upstream, and frees
// the keys that the new one has just leased to it.
func TestNoLeaseThatTheEndOfAnEarlierSessionFrees(t *testing.T) {
	for name, registersFirst := range map[string]bool{"session ends first": false, "registered first": true} {
		t.Run(name, func(t *testing.T) {
			state := fsm.NewState()
			apply := func(c *fsm.Command) {
				t.Helper()
				result, _ := state.Apply(1, c)
				assert.Assert(t, result.Accepted, result.Reason)
			}
			u := fleet.Upstream{Name: "later", Service: "s", Address: "a", Boot: "later", Slots: 2, ColdSlots: 2, StartMillis: 2000}
			preset := &fleet.Preset{Name: "p", Services: []fleet.Service{{Name: "s", Ranged: true, QueueLimit: 4}}}
			apply(&fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "c", Unconditional: true, Preset: preset}})
			apply(&fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "1", Router: fleet.Router{ID: "self", Upstream: u}}})
			granted := fleet.KeyRange{Last: fleet.KeyCount - 1, Phase: fleet.ShardGranted, Owner: "self", Boot: "later", Epoch: 1}
			apply(&fsm.Command{AssignRanges: &fsm.AssignRanges{Next: fleet.KeySpace{Service: "s", LastEpoch: 1, Ranges: []fleet.KeyRange{granted}}}})
			apply(&fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "2", Router: fleet.Router{ID: "self"}}})

			s := newRangedHarness("s")
			show := func() {
				until := s.time.now.Add(time.Minute)
				s.update(&session.Update{Session: 2, OwnershipUntil: until, ViewUntil: until, RangeLeaseUntil: until, Change: state.View.Full()})
				s.answerRegistered(s.time.now)
			}
			endEarlierSession := func() {
				apply(&fsm.Command{CloseSessions: &fsm.CloseSessions{Term: 1, Sessions: []fleet.Session{1}}})
			}
			register := func() {
				apply(&fsm.Command{UpdateRouter: &fsm.UpdateRouter{Router: fleet.Router{ID: "self", Session: 2, Upstream: u}}})
			}
			show()
			reply := s.sendHeartbeat("later", "s", 2000, 40)
			if !registersFirst {
				leasedBefore := reply.Depth() > 0
				endEarlierSession()
				assert.Equal(t, state.View.KeySpaces["s"].Find(5).Owner, fleet.RouterID(""))
				assert.Assert(t, !leasedBefore, "keys that were leased are free")
			}
			register()
			show()
			answer := <-reply.Out()
			assert.Assert(t, answer.Renews)
			assert.Equal(t, len(answer.Ranges) > 0, registersFirst)
			if registersFirst {
				endEarlierSession()
				assert.Equal(t, state.View.KeySpaces["s"].Find(5).Owner, fleet.RouterID("self"))
			}
		})
	}
}

// A heartbeat whose upstream is not registered in time is answered without leases.
func TestHeartbeatIsAnsweredWithoutARegistration(t *testing.T) {
	s, showView := newRestartedHarness(t)
	showView()
	first := s.sendHeartbeat("later", "s", 2000, 40)
	s.time.now = s.time.now.Add(registrationTime / 2)
	s.tick(s.ctx)
	assert.Equal(t, first.Depth(), 0)
	second := s.sendHeartbeat("later", "s", 2000, 41)
	assert.Assert(t, !(<-first.Out()).Renews, "one heartbeat waits at a time")
	assert.Assert(t, s.sleep() <= registrationTime)
	s.time.now = s.time.now.Add(registrationTime)
	s.tick(s.ctx)
	assert.Assert(t, !(<-second.Out()).Renews)
}
