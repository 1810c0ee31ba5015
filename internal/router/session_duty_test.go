package router

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/event"
)

// A router that was held up says so: without the event a request that was read late can't be
// told from one whose connection waited elsewhere.
func TestDelayOfTheDutyIsLogged(t *testing.T) {
	due := clock.Instant(time.Hour)
	log := event.NewLog(io.Discard, "test")
	d := &sessionDuty{events: log, wakeAt: due}
	d.recordDelay(due.Add(reportedDelay - 1))
	assert.Equal(t, log.Count(event.DutyDelayed), int64(0))
	d.recordDelay(due.Add(reportedDelay))
	assert.Equal(t, log.Count(event.DutyDelayed), int64(1))
}
