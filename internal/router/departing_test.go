package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/upstream"
)

func (s *executorHarness) leave(name string) ring.Reply[bool] {
	acknowledged := ring.NewReply[bool]()
	s.handleNotification(s.ctx, &upstream.Notification{Leaving: true, Name: name, Acknowledged: acknowledged})
	s.dispatch(s.ctx)
	return acknowledged
}

// showRouter shows the duty a registration of its router.
func (s *executorHarness) showRouter(r fleet.Router) {
	r.ID = "self"
	version, until := s.core.ViewVersion(), s.time.now.Add(time.Minute)
	s.update(&session.Update{Session: r.Session, OwnershipUntil: until, ViewUntil: until, RangeLeaseUntil: until, Change: &fleet.Change{
		From: version, To: version + 1, Routers: []fleet.Router{r},
	}})
	s.answerRegistered(s.time.now)
	s.dispatch(s.ctx)
}

// Guards against a departure that was acknowledged and is forgotten with the router's process:
// control has not replicated it.
func TestDepartureIsAcknowledgedOnceItIsReplicated(t *testing.T) {
	for name, known := range map[string]bool{"present upstream": true, "unknown upstream": false} {
		t.Run(name, func(t *testing.T) {
			s := newRangedHarness("s")
			if known {
				assert.Assert(t, s.heartbeat("u", "s", 1000, 1).Renews)
			}
			first := s.leave("u")
			assert.Equal(t, first.Depth(), 0)
			assert.Assert(t, s.sleep() <= registrationTime)
			s.time.now = s.time.now.Add(registrationTime)
			s.tick(s.ctx)
			assert.Assert(t, !<-first.Out(), "control does not answer")

			second := s.leave("u")
			registered := fleet.Router{Session: 1, Upstream: s.upstream, Leaving: known, LastDeparture: fleet.Departure{Name: "u", Millis: 1500}}
			if known {
				registered.DepartedBoot = "u"
			}
			s.showRouter(registered)
			assert.Equal(t, second.Depth(), 0, "an earlier departure")
			registered.LastDeparture.Millis = time.Now().UnixMilli()
			s.showRouter(registered)
			assert.Assert(t, <-second.Out())
			assert.Assert(t, !s.heartbeat("u", "s", 1000, 2).Renews)
		})
	}
}

// The same holds for the heartbeat by which an upstream says that it drains.
func TestDrainingIsAcknowledgedOnceItIsReplicated(t *testing.T) {
	s := newRangedHarness("s")
	assert.Assert(t, s.heartbeat("u", "s", 1000, 1).Renews)
	drain := func(sequence uint64) ring.Reply[executor.LeaseAnswer] {
		reply := ring.NewReply[executor.LeaseAnswer]()
		s.handleNotification(s.ctx, &upstream.Notification{Upstream: s.upstream, Heartbeat: &upstream.Heartbeat{
			Sequence: sequence, Draining: true, Heartbeat: executor.Heartbeat{Upstream: s.upstream}, Reply: reply,
		}})
		s.dispatch(s.ctx)
		return reply
	}
	first := drain(2)
	s.time.now = s.time.now.Add(registrationTime)
	s.tick(s.ctx)
	assert.Assert(t, (<-first.Out()).Unacknowledged)
	assert.Assert(t, (<-drain(1).Out()).Unacknowledged, "a late one")
	second := drain(3)
	assert.Equal(t, second.Depth(), 0)
	s.showRouter(fleet.Router{Session: 1, Upstream: s.upstream, Leaving: true, DepartedBoot: "u"})
	answer := <-second.Out()
	assert.Assert(t, !answer.Unacknowledged && answer.Renews)
}

// Guards against a late heartbeat that brings a departed upstream back after a restart of its
// router, whether or not its session has ended meanwhile, and whatever the departure was.
func TestDepartureOutlivesTheRouter(t *testing.T) {
	for name, sessionEnds := range map[string]bool{"back soon": false, "back after its session": true} {
		t.Run(name, func(t *testing.T) {
			state := fsm.NewState()
			apply := func(c *fsm.Command) {
				t.Helper()
				result, _ := state.Apply(1, c)
				assert.Assert(t, result.Accepted, result.Reason)
			}
			preset := &fleet.Preset{Name: "p", Services: []fleet.Service{{Name: "s", Ranged: true, QueueLimit: 4}}}
			apply(&fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "c", Unconditional: true, Preset: preset}})
			apply(&fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "1", Router: fleet.Router{ID: "self"}}})
			apply(&fsm.Command{UpdateRouter: &fsm.UpdateRouter{Router: fleet.Router{
				ID: "self", Session: 1, LastDeparture: fleet.Departure{Name: "u", Millis: 1500},
			}}})
			if sessionEnds {
				apply(&fsm.Command{CloseSessions: &fsm.CloseSessions{Term: 1, Sessions: []fleet.Session{1}}})
			}
			apply(&fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "2", Router: fleet.Router{ID: "self"}}})

			s := newRangedHarness("s")
			s.core = executor.New("self", "dc")
			s.heartbeat("u", "s", 1000, 7)
			until := s.time.now.Add(time.Minute)
			s.update(&session.Update{Session: 2, OwnershipUntil: until, ViewUntil: until, RangeLeaseUntil: until, Change: state.View.Full()})
			s.applyEarly(s.ctx)
			assert.Assert(t, !s.heartbeat("u", "s", 1000, 8).Renews)
			assert.Equal(t, s.upstream.Name, "")
			assert.Assert(t, s.heartbeat("u", "s", 2000, 1).Renews, "a later start under the same name")
		})
	}
}
