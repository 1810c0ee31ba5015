package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/upstream"
)

// newRestartedHarness returns the executor duty of a router that has just started. Its
// earlier process had registered the boot "later", which holds all keys.
func newRestartedHarness(t *testing.T) (s *executorHarness, showView func()) {
	t.Helper()
	s = newRangedHarness("s")
	s.core = executor.New("self", "dc")
	s.core.Expect("s")
	return s, func() {
		until := s.time.now.Add(time.Minute)
		later := fleet.KeyRange{Last: fleet.KeyCount - 1, Phase: fleet.ShardGranted, Owner: "self", Boot: "later", Epoch: 3}
		s.update(&session.Update{Session: 2, OwnershipUntil: until, ViewUntil: until, RangeLeaseUntil: until, Change: &fleet.Change{
			Full: true, To: 7, Preset: &fleet.Preset{Services: []fleet.Service{{Name: "s", Ranged: true, QueueLimit: 4}}},
			Routers:   []fleet.Router{{ID: "self", Session: 2, EarlierStart: 2000}},
			KeySpaces: []fleet.KeySpace{{Service: "s", Revision: 1, LastEpoch: 3, Ranges: []fleet.KeyRange{later}}},
		}})
		s.applyEarly(s.ctx)
		s.dispatch(s.ctx)
	}
}

// Guards against a heartbeat of an ended boot that arrives late, as the first one at a router
// that has just started: the keys of the present boot were reported as free, and had two
// holders.
func TestLateHeartbeatAfterARestartChangesNothing(t *testing.T) {
	for name, c := range map[string]struct{ before, kept bool }{
		"before the first view": {before: true}, "after it": {}, "before an old view that control has kept": {before: true, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, showView := newRestartedHarness(t)
			if !c.before {
				showView()
			}
			assert.Assert(t, !s.heartbeat("earlier", "s", 1000, 9).Renews)
			if c.kept { // without a lease, since changes follow that are missing
				s.update(&session.Update{Session: 2, Change: &fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{Services: []fleet.Service{{Name: "s", Ranged: true}}}}})
				s.applyEarly(s.ctx)
			}
			if c.before {
				showView()
			}
			assert.Equal(t, s.rangeUpdates.Depth(), 0, "keys are reported as free")
			assert.Equal(t, s.registrations.Depth(), 0)
			reply := s.sendHeartbeat("later", "s", 2000, 40)
			assert.Equal(t, reply.Depth(), 0, "leased before the registration")
			s.register(2)
			answer := <-reply.Out()
			assert.Assert(t, answer.Renews && len(answer.Ranges) == 1)
			assert.Assert(t, !s.heartbeat("earlier", "s", 1000, 10).Renews)
			assert.Equal(t, s.upstream.Name, "later")
		})
	}
}

// Guards against an upstream that is ignored for good because the clock of its VM was set back
// before its start: late heartbeats of an ended boot do not go on for long, its own do.
func TestUpstreamWithAnEarlierStartTimeIsTakenInTheEnd(t *testing.T) {
	s, showView := newRestartedHarness(t)
	showView()
	began := s.time.now
	for sequence := uint64(1); ; sequence++ {
		if s.heartbeat("present", "s", 1000, sequence).Renews {
			break
		}
		s.time.now = s.time.now.Add(time.Second)
		assert.Assert(t, s.time.now.Sub(began) < time.Minute)
	}
	assert.Assert(t, s.time.now.Sub(began) >= earlierBootTime)
	assert.Equal(t, s.upstream.Name, "present")
	assert.Assert(t, s.rangeUpdates.Depth() > 0, "the keys of the later start time are free")
}

// Late heartbeats of one boot that arrive together, or with pauses, prove nothing.
func TestLateHeartbeatsTogetherProveNothing(t *testing.T) {
	s, showView := newRestartedHarness(t)
	showView()
	for sequence := uint64(1); sequence < 40; sequence++ {
		assert.Assert(t, !s.heartbeat("earlier", "s", 1000, sequence).Renews)
		if sequence%5 == 0 {
			s.time.now = s.time.now.Add(earlierBootGap + time.Millisecond)
		}
	}
}

// Guards against an upstream that is used after its departure was acknowledged: a router that
// has just started knows nothing of it when the departure arrives, and takes a heartbeat for
// a proper one that was sent before and arrives later, or was kept until the first view.
func TestDepartureOfAnUnknownUpstreamIsRemembered(t *testing.T) {
	leave := func(s *executorHarness) {
		s.handleNotification(s.ctx, &upstream.Notification{Leaving: true, Name: "later"})
	}
	for name, heartbeatFirst := range map[string]bool{"heartbeat kept until the view": true, "heartbeat after the departure": false} {
		t.Run(name, func(t *testing.T) {
			s, showView := newRestartedHarness(t)
			if heartbeatFirst {
				s.heartbeat("later", "s", 2000, 40)
			}
			leave(s)
			showView()
			assert.Assert(t, !s.heartbeat("later", "s", 2000, 41).Renews)
			assert.Equal(t, s.upstream.Name, "")
			for s.registrations.Depth() > 0 {
				r, err := s.registrations.Take(s.ctx)
				assert.NilError(t, err)
				assert.Assert(t, r.departure.Name == "later", "%+v is registered", r)
			}
			next := time.Now().Add(time.Hour).UnixMilli()
			reply := s.sendHeartbeat("later", "s", next, 1)
			s.register(2)
			assert.Assert(t, (<-reply.Out()).Renews, "a later start under the same name")
		})
	}
}

// Guards against a cold upstream that gets more than it bears: the time for which it stays
// cold counts also if it came with a heartbeat before the first view.
func TestEarlyHeartbeatOfAColdUpstreamIsPaced(t *testing.T) {
	const slots = 8
	s := newRangedHarness("s")
	s.core = executor.New("self", "dc")
	u := fleet.Upstream{Name: "u", Service: "s", Address: "a", Boot: "u", Slots: slots, ColdSlots: slots, StartMillis: 1000}
	reply := ring.NewReply[executor.LeaseAnswer]()
	s.handleNotification(s.ctx, &upstream.Notification{Upstream: u, Heartbeat: &upstream.Heartbeat{
		Sequence: 1, Heartbeat: executor.Heartbeat{Upstream: u, ColdFor: 5 * time.Second}, Reply: reply,
	}})
	until := s.time.now.Add(time.Minute)
	s.update(&session.Update{Session: 1, OwnershipUntil: until, ViewUntil: until, Change: &fleet.Change{
		Full: true, To: 1, Preset: &fleet.Preset{Services: []fleet.Service{{Name: "s", QueueLimit: 2 * slots, Profile: fleet.UpstreamProfile{ColdRate: 2}}}},
	}})
	s.applyEarly(s.ctx)
	s.time.now = s.time.now.Add(time.Second)
	for number := uint64(1); number <= slots; number++ {
		s.submit(&submission{link: 1, call: call.Call{Number: number, RequestID: "id", Service: "s", Method: "GET", Idempotent: true, Deadline: until}})
	}
	s.dispatch(s.ctx)
	assert.Assert(t, s.runs.Depth() < slots/2, "%d of %d calls run at once", s.runs.Depth(), slots)
}

// Guards against keys that stay unserved for seconds after a loss of power: that the upstream
// is newer than the router's earlier process counts also if its heartbeat came before the
// first view.
func TestEarlyHeartbeatOfANewerUpstreamFreesKeys(t *testing.T) {
	s := newRangedHarness("s")
	s.core = executor.New("self", "dc")
	s.heartbeat("next", "s", 2000, 1)
	until := s.time.now.Add(time.Minute)
	ended := fleet.KeyRange{Last: fleet.KeyCount - 1, Phase: fleet.ShardGranted, Owner: "self", Boot: "ended", Epoch: 3}
	byRequest := fleet.Service{Name: "s", Ranged: true, QueueLimit: 4, Profile: fleet.UpstreamProfile{GrantsBy: fleet.GrantByRequest}}
	s.update(&session.Update{Session: 2, OwnershipUntil: until, ViewUntil: until, RangeLeaseUntil: until, Change: &fleet.Change{
		Full: true, To: 7, Preset: &fleet.Preset{Services: []fleet.Service{byRequest}},
		KeySpaces: []fleet.KeySpace{{Service: "s", Revision: 1, LastEpoch: 3, Ranges: []fleet.KeyRange{ended}}},
	}})
	s.applyEarly(s.ctx)
	s.tick(s.ctx)
	s.dispatch(s.ctx)
	assert.Equal(t, s.rangeUpdates.Depth(), 1, "the keys of the ended boot")
}
