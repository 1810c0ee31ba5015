package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/upstream"
)

// newRangedHarness returns an executor duty whose preset has one service with ranges of keys.
func newRangedHarness(service string) *executorHarness {
	s := newExecutorHarness(8)
	s.upstream, s.upstreamGone = fleet.Upstream{}, false
	s.core = executor.New("self", "dc")
	s.core.Expect(service)
	until := s.time.now.Add(time.Minute)
	preset := &fleet.Preset{Services: []fleet.Service{{Name: "s", Ranged: true, QueueLimit: 4}, {Name: "other"}}}
	s.update(&session.Update{Session: 1, Change: &fleet.Change{Full: true, To: 1, Preset: preset}, OwnershipUntil: until, ViewUntil: until, RangeLeaseUntil: until})
	for s.registrations.Depth() > 0 {
		_, _ = s.registrations.Take(s.ctx)
	}
	return s
}

// heartbeat passes a heartbeat to the duty and returns the answer.
func (s *executorHarness) heartbeat(name, service string, startMillis int64, sequence uint64) executor.LeaseAnswer {
	return <-s.sendHeartbeat(name, service, startMillis, sequence).Out()
}

// sendHeartbeat passes a heartbeat to the duty. The answer is the reply's.
func (s *executorHarness) sendHeartbeat(name, service string, startMillis int64, sequence uint64) ring.Reply[executor.LeaseAnswer] {
	u := fleet.Upstream{Name: name, Service: service, Address: "a", Boot: name, Slots: 2, ColdSlots: 2, StartMillis: startMillis}
	reply := ring.NewReply[executor.LeaseAnswer]()
	s.handleNotification(s.ctx, &upstream.Notification{Upstream: u, Heartbeat: &upstream.Heartbeat{
		Sequence: sequence, Heartbeat: executor.Heartbeat{Upstream: u}, Reply: reply,
	}})
	s.dispatch(s.ctx)
	return reply
}

// register shows the duty a view in which control has registered its upstream, as the
// duty's loop does.
func (s *executorHarness) register(number fleet.Session) {
	version := s.core.ViewVersion()
	until := s.time.now.Add(time.Minute)
	s.update(&session.Update{Session: number, OwnershipUntil: until, ViewUntil: until, RangeLeaseUntil: until, Change: &fleet.Change{
		From: version, To: version + 1, Routers: []fleet.Router{{ID: "self", Session: number, Upstream: s.upstream}},
	}})
	s.answerRegistered(s.time.now)
	s.dispatch(s.ctx)
}

// Guards against a heartbeat of another writer that takes the place of a live upstream: control
// then frees the ranges that the upstream still holds, and they have two holders.
func TestHeartbeatOfAnotherServiceChangesNothing(t *testing.T) {
	for name, c := range map[string]struct{ configured, foreign string }{
		"service that no preset names":                        {"", "node-agent"},
		"service that no preset names, configured service":    {"s", "node-agent"},
		"service of the preset other than the configured one": {"s", "other"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRangedHarness(c.configured)
			assert.Assert(t, s.heartbeat("u", "s", 1000, 1).Renews)
			assert.Equal(t, s.registrations.Depth(), 1)
			answer := s.heartbeat("agent", c.foreign, 2000, 1)
			assert.Assert(t, answer.Unexpected && !answer.Renews)
			s.handleNotification(s.ctx, &upstream.Notification{Upstream: fleet.Upstream{Name: "agent", Service: c.foreign, Boot: "agent", Slots: 1}})
			assert.Equal(t, s.registrations.Depth(), 1, "the upstream stays registered")
			assert.Equal(t, s.upstream.Name, "u")
			assert.Assert(t, s.heartbeat("u", "s", 1000, 2).Renews, "the upstream's leases are renewed")
		})
	}
}
