package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
)

// TestRequestedLeasesAreExclusive checks that at most one upstream holds a key, whatever
// happens to the requests that grant and release it, and that ranges do move.
func TestRequestedLeasesAreExclusive(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(rangeSimSeeds) {
		w := newRangeWorld(t, seed, kinds)
		for end := w.now.Add(rangeSimTime); w.now < end; {
			w.step()
		}
	}
	t.Logf("%v", kinds)
	for _, kind := range []string{"released", "late grant", "late release", "grant applied", "grant unanswered", "grant not-sent", "release applied", "release unanswered"} {
		assert.Assert(t, kinds[kind] > 0, "nothing of the kind %s", kind)
	}
}

// TestFencedGrantEndsItsEpoch has the upstream refuse a grant for a higher epoch. The
// grant is not sent again, the range is released and reported under that epoch, and its
// keys are refused meanwhile.
func TestFencedGrantEndsItsEpoch(t *testing.T) {
	s := newRangeFixture(t)
	s.grantByRequest(t)
	s.setPhase(t, fleet.ShardGranted)
	_, out := s.sendHeartbeat(Heartbeat{})
	assert.Equal(t, len(out.RangeRequests), 1)
	s.CompleteRangeRequest(s.now, RangeResponse{Number: out.RangeRequests[0].Number, Result: RangeFenced, Status: 409})
	out = s.Take()
	assert.Equal(t, len(out.RangeRequests), 1)
	release := out.RangeRequests[0]
	assert.Equal(t, release.Kind, ReleaseRange)
	assert.Equal(t, s.submitKey(5).Reason, verdict.ReasonNotOwner)
	s.now = s.now.Add(maxRequestedLease)
	s.CompleteRangeRequest(s.now, RangeResponse{Number: release.Number, Result: RangeApplied, Handover: "h"})
	out = s.Take()
	assert.DeepEqual(t, out.RangeReports, []session.RangeReport{{Service: "s", Boot: "1", Releases: []fsm.RangeRelease{{First: 0, Last: 32767, Epoch: 7, Handover: "h"}}}})
	for range 50 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.SetRangeLease(s.now.Add(5 * time.Second))
		s.Tick(s.now)
		_, out = s.sendHeartbeat(Heartbeat{})
		assert.Equal(t, len(out.RangeRequests), 0, "the refused grant was sent again")
	}
}

// grantByRequest makes the fixture's upstreams learn their ranges by requests.
func (s *rangeFixture) grantByRequest(t *testing.T) {
	t.Helper()
	service := fleet.Service{Name: "s", Keyed: true, Ranged: true, QueueLimit: 18, Profile: fleet.UpstreamProfile{GrantsBy: fleet.GrantByRequest}}
	s.version++
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, Preset: &fleet.Preset{Services: []fleet.Service{service}}}))
}

// TestOneLostRenewalCostsNoKey loses the answer to every second grant. The keys are
// served all the time once they were confirmed.
func TestOneLostRenewalCostsNoKey(t *testing.T) {
	s := newRangeFixture(t)
	s.grantByRequest(t)
	s.setPhase(t, fleet.ShardGranted)
	_, out := s.sendHeartbeat(Heartbeat{})
	type lost struct {
		at     clock.Instant
		number uint64
	}
	var unanswered []lost
	granted, sent := false, 0
	for range 3000 {
		for _, request := range out.RangeRequests {
			if sent++; sent%2 == 0 {
				unanswered = append(unanswered, lost{s.now.Add(RangeRequestTimeout), request.Number})
				continue
			}
			s.CompleteRangeRequest(s.now, RangeResponse{Number: request.Number, Result: RangeApplied})
			granted = true
		}
		for len(unanswered) > 0 && unanswered[0].at <= s.now {
			s.CompleteRangeRequest(s.now, RangeResponse{Number: unanswered[0].number, Result: RangeUnanswered})
			unanswered = unanswered[1:]
		}
		if granted {
			assert.Equal(t, s.rangeRefusal(s.now, &call.Call{KeyNumber: 5}), verdict.ReasonNone)
		}
		s.now = s.now.Add(10 * time.Millisecond)
		s.SetRangeLease(s.now.Add(5 * time.Second))
		if s.Deadline() <= s.now {
			s.Tick(s.now)
		}
		out = s.Take()
	}
	assert.Assert(t, sent > 20 && sent < 60, "%d grants in 30 s", sent)
}

// TestRequestedLeaseEndsInTime checks that a lease ends by Until even if the grant
// arrives just before its timeout, at an upstream whose clock is slow by clockDrift.
func TestRequestedLeaseEndsInTime(t *testing.T) {
	for left := RangeRequestTimeout; left < 12*time.Second; left += 7 * time.Millisecond {
		now := clock.Instant(time.Hour)
		r := RangeRequest{Until: now.Add(left), MaxHold: maxHold}
		hold, ok := r.Hold(now)
		if !ok {
			assert.Assert(t, hold < minHold)
			continue
		}
		assert.Assert(t, hold <= maxHold)
		end := now.Add(RangeRequestTimeout).Add(hold + hold*2/100)
		assert.Assert(t, end <= r.Until, "%v left: the lease ends %v late", left, end.Sub(r.Until))
	}
}

// TestGrantInFlightOutlivesTheUpstream lets the upstream exit while a grant is in flight,
// which its next start may receive. The range is reported only once the outcome of the
// grant is known, or its lease has ended.
func TestGrantInFlightOutlivesTheUpstream(t *testing.T) {
	for _, result := range []RangeResult{RangeNotSent, RangeUnanswered} {
		s := newRangeFixture(t)
		s.grantByRequest(t)
		s.now = s.now.Add(maxRequestedLease)
		s.SetRangeLease(s.now.Add(5 * time.Second))
		s.setPhase(t, fleet.ShardGranted)
		_, out := s.sendHeartbeat(Heartbeat{})
		assert.Equal(t, len(out.RangeRequests), 1)
		grant := out.RangeRequests[0]
		s.UpstreamEnded(s.now)
		assert.Equal(t, len(s.Take().RangeReports), 0)
		s.CompleteRangeRequest(s.now, RangeResponse{Number: grant.Number, Result: result})
		if result == RangeUnanswered {
			assert.Equal(t, len(s.Take().RangeReports), 0)
			s.now = grant.Until
			s.Tick(s.now)
		}
		out = s.Take()
		assert.Equal(t, len(out.RangeReports), 1)
		assert.Equal(t, len(out.RangeRequests), 0)
	}
}

// TestRangesOfAnEarlierStartAreFreeAfterALossOfPower starts the router and then the
// upstream, as after a loss of power. The ranges of the upstream's earlier boot are
// reported at once. If the upstream is older than the router's process, they are reported
// only after all leases that an earlier process may have sent have expired.
func TestRangesOfAnEarlierStartAreFreeAfterALossOfPower(t *testing.T) {
	for _, newer := range []bool{true, false} {
		s := newRangeFixture(t)
		s.grantByRequest(t)
		s.setPhase(t, fleet.ShardGranted)
		s.upstream.Boot = "2"
		_, out := s.sendHeartbeat(Heartbeat{Newer: newer})
		assert.Equal(t, len(out.RangeReports) == 1, newer)
		s.now = s.now.Add(maxRequestedLease)
		s.Tick(s.now)
		_, out = s.sendHeartbeat(Heartbeat{})
		assert.Equal(t, len(out.RangeReports), 1)
	}
}

// TestRangesOfAnotherServiceAreFreed gives the address of an upstream to one of another
// service. The ranges of the earlier one come free once the leases that were sent have
// ended, and the present one is not asked to release them.
func TestRangesOfAnotherServiceAreFreed(t *testing.T) {
	s := newRangeFixture(t)
	s.grantByRequest(t)
	s.now = s.now.Add(maxRequestedLease)
	s.SetRangeLease(s.now.Add(5 * time.Second))
	s.setPhase(t, fleet.ShardGranted)
	_, out := s.sendHeartbeat(Heartbeat{})
	grant := out.RangeRequests[0]
	s.CompleteRangeRequest(s.now, RangeResponse{Number: grant.Number, Result: RangeApplied})
	s.version++
	services := []fleet.Service{s.view.Preset.Services[0], s.view.Preset.Services[0]}
	services[1].Name = "t"
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, Preset: &fleet.Preset{Services: services}}))
	s.upstream.Service, s.upstream.Boot = "t", "2"
	s.Announce(s.now, s.upstream)
	_, out = s.sendHeartbeat(Heartbeat{})
	assert.Equal(t, len(out.RangeReports)+len(out.RangeRequests), 0)
	s.now = grant.Until
	s.Tick(s.now)
	_, out = s.sendHeartbeat(Heartbeat{})
	assert.Equal(t, len(out.RangeRequests), 0)
	assert.DeepEqual(t, out.RangeReports[0], session.RangeReport{Service: "s", Boot: "1", Releases: []fsm.RangeRelease{{First: 0, Last: 32767, Epoch: 7}}})
}
