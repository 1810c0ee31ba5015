package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

// TestReportsFollowChanges guards against reports that come too late to be of use, and
// against a message for each call. The load is an upstream of 9 slots with runs of 150 ms,
// whose queue moves by one call every 2 ms.
func TestReportsFollowChanges(t *testing.T) {
	start := clock.Instant(time.Hour)
	idle := call.Load{InFlight: 2, Limit: 9, Latency: 150 * time.Millisecond}
	full, queued, slow := idle, idle, idle
	full.InFlight = 9
	queued.InFlight, queued.Queued = 9, 9
	slow.Slowdown = 3
	for _, c := range []struct {
		name        string
		first, then call.Load
		after       time.Duration
	}{
		{"unchanged", idle, idle, regularReportInterval},
		{"no slot is free any more", idle, full, minReportInterval},
		{"a slot is free again", full, idle, minReportInterval},
		{"slower", idle, slow, minReportInterval},
		{"longer wait", full, queued, minReportInterval},
		{"full and unchanged", queued, queued, fullReportInterval},
	} {
		var s ReportSchedule
		assert.Assert(t, s.Due(start, &c.first), c.name)
		assert.Assert(t, !s.Due(start.Add(c.after-1), &c.then), c.name)
		assert.Assert(t, s.Due(start.Add(c.after), &c.then), c.name)
	}
	var s ReportSchedule
	reports, load := 0, full
	for i := range 5000 {
		load.Queued = i % 19
		if s.Due(start.Add(time.Duration(i)*2*time.Millisecond), &load) {
			reports++
		}
	}
	assert.Assert(t, reports <= 201, "%d reports in 10 s", reports)
}
