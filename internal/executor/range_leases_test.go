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

// rangeFixture is an executor whose upstream holds key ranges, in virtual time.
type rangeFixture struct {
	*loadFixture
	version fleet.Version
	space   fleet.KeySpace
}

func newRangeFixture(t *testing.T) *rangeFixture {
	s := &rangeFixture{loadFixture: newLoadFixture(t), version: 1}
	service := fleet.Service{Name: "s", Keyed: true, Ranged: true, QueueLimit: 18}
	s.version++
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: 1, To: 2, Preset: &fleet.Preset{Services: []fleet.Service{service}}}))
	s.SetRangeLease(s.now.Add(5 * time.Second))
	return s
}

// setPhase sets the phase of the lower half of the keys, which the upstream
// owns.
func (s *rangeFixture) setPhase(t *testing.T, phase fleet.ShardPhase) {
	t.Helper()
	s.space = fleet.KeySpace{Service: "s", Revision: s.space.Revision + 1, LastEpoch: 7, Ranges: []fleet.KeyRange{
		{First: 0, Last: 32767, Phase: phase, Owner: "r", Boot: "1", Epoch: 7}, {First: 32768, Last: fleet.KeyCount - 1},
	}}
	s.version++
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, KeySpaces: []fleet.KeySpace{s.space}}))
}

func (s *rangeFixture) sendHeartbeat(h Heartbeat) (LeaseAnswer, Output) {
	h.Upstream = s.upstream
	answer := s.Heartbeat(s.now, &h)
	return answer, s.Take()
}

func (s *rangeFixture) submitKey(key uint32) call.Answer {
	number := s.submitCall(func(c *call.Call) { c.Ranged, c.KeyNumber = true, key })
	if _, started := s.started[number]; started {
		return call.Answer{Verdict: verdict.Ran}
	}
	return s.answers[number]
}

// TestKeysAreServedWhileLeased checks that the keys of a range
// are served from the first answer that leases it until the answer that revokes
// it, and that its release is reported only after the upstream's work has
// ended.
func TestKeysAreServedWhileLeased(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	assert.Equal(t, s.submitKey(5).Reason, verdict.ReasonNotOwner, "before the upstream knows of the range")
	answer, _ := s.sendHeartbeat(Heartbeat{})
	assert.Assert(t, answer.Renews && len(answer.Ranges) == 1)
	assert.Equal(t, s.submitKey(5).Verdict, verdict.Ran)
	assert.Equal(t, s.submitKey(40000).Reason, verdict.ReasonNotOwner)

	s.setPhase(t, fleet.ShardRevoking)
	assert.Equal(t, s.submitKey(6).Verdict, verdict.Ran, "the upstream was not told yet")
	held := []HeldRange{{First: 0, Last: 32767, Epoch: 7}}
	answer, out := s.sendHeartbeat(Heartbeat{Holds: held})
	assert.Assert(t, answer.Renews && len(answer.Ranges) == 0)
	assert.Equal(t, len(out.RangeReports), 0, "the upstream still works on it")
	assert.Equal(t, s.submitKey(7).Reason, verdict.ReasonNotOwner)

	_, out = s.sendHeartbeat(Heartbeat{Released: []ReleasedRange{{First: 0, Last: 32767, Handover: "h"}}})
	assert.Equal(t, len(out.RangeReports), 1)
	assert.Equal(t, out.RangeReports[0].Releases[0].Handover, "h")
	assert.Equal(t, out.RangeReports[0].Releases[0].Epoch, fleet.Epoch(7))
}

// TestNoLeaseOutlastsTheRoutersLease checks that no lease to the upstream outlasts
// the router's, even if the upstream's clock runs 2% slow, and that ranges are
// renewed until shortly before it expires.
func TestNoLeaseOutlastsTheRoutersLease(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	end := s.now.Add(5 * time.Second)
	for ; s.now < end.Add(time.Second); s.now = s.now.Add(100 * time.Millisecond) {
		answer, _ := s.sendHeartbeat(Heartbeat{})
		if answer.Renews {
			assert.Assert(t, s.now.Add(time.Duration(float64(answer.Hold)*1.02)) <= end)
		} else {
			assert.Assert(t, s.now.Add(minHold) >= end.Add(-20*time.Millisecond), "no renewal %v before the end", end.Sub(s.now))
		}
	}
}

// TestRangesOfSilentUpstreamAreReleasedAtExpiry revokes a range of an upstream
// that stops sending heartbeats. The range is released only once its lease has
// expired on a clock that runs 2% slow.
func TestRangesOfSilentUpstreamAreReleasedAtExpiry(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	answer, _ := s.sendHeartbeat(Heartbeat{Newer: true}) // no earlier process has leased it anything
	leasedAt := s.now
	s.setPhase(t, fleet.ShardRevoking)
	reported := clock.Instant(0)
	for reported == 0 {
		s.now = s.now.Add(50 * time.Millisecond)
		s.Tick(s.now)
		if out := s.Take(); len(out.RangeReports) > 0 {
			reported = s.now
		}
	}
	assert.Assert(t, reported >= leasedAt.Add(time.Duration(float64(answer.Hold)*1.02)))
	assert.Assert(t, reported <= leasedAt.Add(time.Duration(float64(answer.Hold)*1.02)+100*time.Millisecond))
}

// TestRestartedRouterWaitsForEarlierLeases starts an executor beside an
// upstream that already holds a revoked range. The range is released only once
// any lease of the router's earlier process has expired.
func TestRestartedRouterWaitsForEarlierLeases(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardRevoking)
	started := s.now
	_, out := s.sendHeartbeat(Heartbeat{Holds: []HeldRange{{First: 0, Last: 100, Epoch: 7}}})
	assert.Equal(t, len(out.RangeReports), 0)
	for s.now < started.Add(maxHold) {
		s.now = s.now.Add(time.Second)
		s.Tick(s.now)
		assert.Equal(t, len(s.Take().RangeReports), 0)
	}
	s.now = s.now.Add(time.Second)
	s.Tick(s.now)
	assert.Equal(t, len(s.Take().RangeReports), 1)
}

// Guards against two holders of a key after a restart of the router: a heartbeat that was
// sent before the upstream got its leases arrives late, as the first one of the new process,
// and shows nothing as held. Later ones of the same kind show no more.
func TestLateHeartbeatAfterARestartReleasesNothing(t *testing.T) {
	for name, late := range map[string]Heartbeat{
		"nothing held":      {},
		"an earlier epoch":  {Released: []ReleasedRange{{First: 0, Last: 32767, Handover: "old"}}},
		"other ranges held": {Holds: []HeldRange{{First: 40000, Last: 40001, Epoch: 7}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRangeFixture(t)
			s.setPhase(t, fleet.ShardRevoking)
			started := s.now
			for s.now < started.Add(maxHold) {
				s.SetRangeLease(s.now.Add(5 * time.Second))
				_, out := s.sendHeartbeat(late)
				assert.Equal(t, len(out.RangeReports), 0, "%v after the start", s.now.Sub(started))
				s.now = s.now.Add(500 * time.Millisecond)
			}
			s.now = s.now.Add(time.Second)
			_, out := s.sendHeartbeat(Heartbeat{})
			assert.Equal(t, len(out.RangeReports), 1)
		})
	}
}

// A heartbeat that shows a range as held is newer than its lease, so that a later one proves
// the release: the keys need not wait for the leases of the router's earlier process.
func TestReleaseAfterARestartIsReportedAtOnce(t *testing.T) {
	released := Heartbeat{Released: []ReleasedRange{{First: 0, Last: 32767, Handover: "h"}}}
	for epoch, want := range map[fleet.Epoch]int{6: 0, 7: 1} {
		s := newRangeFixture(t)
		s.setPhase(t, fleet.ShardRevoking)
		_, out := s.sendHeartbeat(Heartbeat{Holds: []HeldRange{{First: 0, Last: 32767, Epoch: epoch}}})
		assert.Equal(t, len(out.RangeReports), 0)
		_, out = s.sendHeartbeat(released)
		assert.Equal(t, len(out.RangeReports), want, "held under epoch %d", epoch)
	}
}

// TestEarlierBootsAreReportedAsEnded restarts both router and upstream, as
// after a power loss. The new executor must release the ranges of the
// upstream's earlier boot, since no other process can.
func TestEarlierBootsAreReportedAsEnded(t *testing.T) {
	want := []session.RangeReport{{Service: "s", Boot: "1", Releases: []fsm.RangeRelease{{First: 0, Last: 32767, Epoch: 7}}}}
	for name, viewFirst := range map[string]bool{"the view comes first": true, "the heartbeat comes first": false} {
		t.Run(name, func(t *testing.T) {
			for _, phase := range []fleet.ShardPhase{fleet.ShardGranted, fleet.ShardRevoking} {
				s := newRangeFixture(t)
				s.upstream.Boot = "2"
				var out Output
				if viewFirst {
					s.setPhase(t, phase)
					_, out = s.sendHeartbeat(Heartbeat{})
				} else {
					_, out = s.sendHeartbeat(Heartbeat{})
					assert.Equal(t, len(out.RangeReports), 0)
					s.setPhase(t, phase)
					assert.Assert(t, s.Deadline() <= s.now)
					s.Tick(s.now)
					out = s.Take()
				}
				assert.DeepEqual(t, out.RangeReports, want)
			}
		})
	}
}

// TestRunningUpstreamIsNotReported restarts the router only. The upstream keeps
// its ranges, and nothing is reported before its first heartbeat.
func TestRunningUpstreamIsNotReported(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	s.Tick(s.now)
	assert.Equal(t, len(s.Take().RangeReports), 0, "before the first heartbeat")
	_, out := s.sendHeartbeat(Heartbeat{Holds: []HeldRange{{First: 0, Last: 32767, Epoch: 7}}})
	assert.Equal(t, len(out.RangeReports), 0)
}

// TestKeysOfDataCentreOutOfServiceEnd takes the upstream's data centre out of
// service. Its keys are served for revocationGrace and no longer.
func TestKeysOfDataCentreOutOfServiceEnd(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	s.sendHeartbeat(Heartbeat{})
	s.version++
	out := []fleet.DataCentreSetting{{Name: s.dataCentre, Out: true}}
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, DataCentres: out}))
	assert.Equal(t, s.submitKey(5).Verdict, verdict.Ran)
	s.now = s.now.Add(maxRevocationGrace - time.Millisecond)
	assert.Equal(t, s.submitKey(6).Verdict, verdict.Ran)
	s.now = s.now.Add(time.Millisecond)
	assert.Equal(t, s.submitKey(7).Reason, verdict.ReasonNoUpstream)
}

// TestDepartedUpstreamGetsNoWork restarts the router beside an upstream that has
// announced its departure. A heartbeat that was sent before the departure and arrives
// late must not make the upstream available again.
func TestDepartedUpstreamGetsNoWork(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	s.sendHeartbeat(Heartbeat{})
	assert.Equal(t, s.submitKey(5).Verdict, verdict.Ran)
	s.version++
	registered := fleet.Router{ID: "r", Upstream: s.upstream, DepartedBoot: s.upstream.Boot}
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, Routers: []fleet.Router{registered}}))
	s.submitKey(6)
	s.now = s.now.Add(maxRevocationGrace)
	assert.Equal(t, s.submitKey(7).Reason, verdict.ReasonNoUpstream)
}

// Guards against requests that reach an upstream long after its departure was acknowledged,
// or its data centre taken out: the time for which its keys are still served passes in a
// quiet hour too, and not from the first call on.
func TestRevocationGraceStartsWithoutCalls(t *testing.T) {
	for name, withdraw := range map[string]func(s *rangeFixture, change *fleet.Change){
		"upstream leaves": func(s *rangeFixture, _ *fleet.Change) { s.Leave(s.now) },
		"data centre out": func(s *rangeFixture, c *fleet.Change) {
			c.DataCentres = []fleet.DataCentreSetting{{Name: s.dataCentre, Out: true}}
		},
		"upstream out": func(s *rangeFixture, c *fleet.Change) {
			c.Upstreams = []fleet.UpstreamSetting{{Name: s.upstream.Name, Out: true}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRangeFixture(t)
			s.setPhase(t, fleet.ShardGranted)
			s.sendHeartbeat(Heartbeat{})
			s.version++
			change := fleet.Change{From: s.version - 1, To: s.version}
			withdraw(s, &change)
			assert.Assert(t, s.SetView(s.now, &change))
			s.now = s.now.Add(maxRevocationGrace)
			assert.Equal(t, s.submitKey(5).Reason, verdict.ReasonNoUpstream)
		})
	}
}

// Guards against a second grace after a restart of the router: a departure that was
// acknowledged by an earlier process may be any time ago.
func TestDepartureBeforeTheRestartHasNoGrace(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	s.sendHeartbeat(Heartbeat{})
	s.version++
	registered := fleet.Router{ID: "r", Upstream: s.upstream, DepartedBoot: s.upstream.Boot}
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, Routers: []fleet.Router{registered}}))
	assert.Equal(t, s.submitKey(5).Reason, verdict.ReasonNoUpstream)
	s.Announce(s.now, s.upstream)
	s.Leave(s.now)
	assert.Equal(t, s.submitKey(6).Reason, verdict.ReasonNoUpstream, "a heartbeat that says that it drains")
}

// Guards against calls that wait in the queue for an upstream that gets no more of them: they
// are refused when the grace ends, without another event.
func TestQueuedCallsAreRefusedWhenTheGraceEnds(t *testing.T) {
	s := newRangeFixture(t)
	s.setPhase(t, fleet.ShardGranted)
	s.sendHeartbeat(Heartbeat{})
	var last uint64
	for range 12 {
		last = s.submitCall(func(c *call.Call) {
			c.Ranged, c.KeyNumber, c.Deadline, c.Objective = true, 5, s.now.Add(time.Minute), s.now.Add(time.Minute)
		})
	}
	_, answered := s.answers[last]
	assert.Assert(t, !answered && s.Load().Queued > 0)
	s.Leave(s.now)
	s.Tick(s.now)
	end := s.now.Add(maxRevocationGrace)
	assert.Equal(t, s.Deadline(), end)
	s.now = end
	s.Tick(s.now)
	assert.Equal(t, s.Load().Queued, 0)
}
