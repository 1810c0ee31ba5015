package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// Guards against the loss of a run time that was not sent before a report without runs: control
// then judges the upstream by older run times, or by none.
func TestReportWithoutRunsKeepsTheUnsentRunTime(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newOpened(t, now)
	c.ReportLoads([]KeyLoad{{First: 0, Last: 9, Rate: 5}}, 120*time.Millisecond, 9)
	c.ReportLoads([]KeyLoad{{First: 0, Last: 9, Rate: 3}}, 0, 8)
	up, due := c.DueRenewal(now)
	assert.Assert(t, due)
	assert.Equal(t, up.RunTime, 120*time.Millisecond)
	assert.Equal(t, up.Limit, 8)
	assert.DeepEqual(t, up.KeyLoads, []KeyLoad{{First: 0, Last: 9, Rate: 3}})
	c.ReportLoads([]KeyLoad{{First: 0, Last: 9, Rate: 3}}, 0, 8)
	up, _ = c.DueRenewal(now.Add(renewalTime))
	assert.Equal(t, up.RunTime, time.Duration(0), "a run time is sent once")
}
