package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/settings"
)

// Guards against a stop that takes its last steps too late for the answers to reach their
// callers before the process is killed.
func TestStopScheduleEndsBeforeTheKill(t *testing.T) {
	for _, killAfter := range []time.Duration{0, 500 * time.Millisecond, time.Second, 6 * time.Second, time.Hour} {
		s := &settings.Router{KillAfter: settings.Duration(killAfter), Grace: settings.Duration(20 * time.Second), Linger: settings.Duration(2500 * time.Millisecond)}
		schedule := newStopSchedule(s)
		assert.Check(t, s.LingerTime() < schedule.waiting && schedule.waiting < schedule.runs && schedule.runs < schedule.requests && schedule.requests < schedule.end, "%+v", schedule)
		if killAfter > time.Second {
			assert.Check(t, schedule.end+serverCloseTime+exitTime < killAfter, "%+v", schedule)
		}
	}
	schedule := newStopSchedule(&settings.Router{KillAfter: settings.Duration(6 * time.Second), Grace: settings.Duration(10 * time.Second)})
	assert.Equal(t, schedule, stopSchedule{waiting: 4800 * time.Millisecond, runs: 5100 * time.Millisecond, requests: 5250 * time.Millisecond, end: 5500 * time.Millisecond})
}
