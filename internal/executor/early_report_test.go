package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Guards against reports of overloaded keys that wait for the next heartbeat, and against
// a report for each refused call: the first one comes 250 ms after the first refusal, the
// others 400 ms apart. Without the setting there is none between heartbeats.
func TestOverloadedKeysAreReportedEarly(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		s := newRangeFixture(t)
		s.SetEarlyReports(enabled)
		s.setPhase(t, fleet.ShardGranted)
		s.sendHeartbeat(Heartbeat{})
		for s.submitKey(5).Reason != verdict.ReasonOverloaded {
		}
		var reports []time.Duration
		for start := s.now; s.now < start.Add(time.Second); s.now = s.now.Add(10 * time.Millisecond) {
			before := s.keyMeter.started
			s.submitKey(5)
			s.Tick(s.now)
			if s.keyMeter.started != before {
				reports = append(reports, s.now.Sub(start))
			}
		}
		if !enabled {
			assert.Equal(t, len(reports), 0)
			continue
		}
		assert.Assert(t, len(reports) == 2, "%v", reports)
		assert.Assert(t, reports[0] >= 250*time.Millisecond && reports[0] <= 410*time.Millisecond, "%v", reports)
		assert.Assert(t, reports[1]-reports[0] >= 400*time.Millisecond, "%v", reports)
	}
}

// Guards against reports that wait for the next heartbeat while the upstream itself sheds calls
// for keys, so that no queue ever fills.
func TestShedKeysAreReportedEarly(t *testing.T) {
	s := newRangeFixture(t)
	s.SetEarlyReports(true)
	s.setPhase(t, fleet.ShardGranted)
	s.sendHeartbeat(Heartbeat{})
	s.keyMeter.started = s.now
	assert.Equal(t, s.submitKey(5).Verdict, verdict.Ran, "the call did not start")
	for run := range s.jobs {
		s.Complete(s.now, Outcome{Run: run, Answer: call.Answer{Verdict: verdict.NotRun, Reason: verdict.ReasonShed}, Health: admission.Shed})
	}
	start := s.now
	for s.keyMeter.started == start && s.now < start.Add(time.Second) {
		s.now = s.now.Add(10 * time.Millisecond)
		s.Tick(s.now)
	}
	assert.Assert(t, s.now.Sub(start) <= 410*time.Millisecond, "no report within %v", s.now.Sub(start))
	assert.Assert(t, len(s.Take().KeyLoads) > 0)
}
