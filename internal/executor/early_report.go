package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const (
	// earlyReportDelay is the time from the first call refused for a full queue, or shed
	// by the upstream, to a report of loads, in which the refused calls show which keys are busy.
	earlyReportDelay = 250 * time.Millisecond
	// earlyReportInterval is the least time between an early report and the one before.
	earlyReportInterval = 400 * time.Millisecond
)

// earlyReport decides when the load of keys is reported before the next heartbeat, because
// calls for keys are refused as overloaded or shed by the upstream. The zero value reports nothing early.
type earlyReport struct {
	enabled bool
	// refused is set from a refusal on until the load is reported, dueAt once its time is
	// known.
	refused bool
	dueAt   clock.Instant
}

// SetEarlyReports sets whether the load of keys is reported soon after calls for them are
// refused as overloaded. Calls that callers mark as sent before then do not count as load,
// since refused calls come back.
func (c *Core) SetEarlyReports(enabled bool) { c.earlyReport.enabled = enabled }

// observe takes the reason why a call was refused or failed.
func (e *earlyReport) observe(request *call.Call, reason verdict.Reason) {
	if e.enabled && request.Ranged && (reason == verdict.ReasonOverloaded || reason == verdict.ReasonShed) {
		e.refused = true
	}
}

// reportEarly reports the load of keys if an early report is due.
func (c *Core) reportEarly(now clock.Instant) {
	e := &c.earlyReport
	switch {
	case !e.refused:
	case e.dueAt == 0:
		e.dueAt = max(now.Add(earlyReportDelay), c.keyMeter.started.Add(earlyReportInterval))
	case now >= e.dueAt:
		e.refused, e.dueAt = false, 0
		c.reportLoads(now, c.grantedRanges(), earlyReportInterval)
	}
}

// grantedRanges returns the ranges that the upstream is to hold.
func (c *Core) grantedRanges() []fleet.KeyRange {
	if c.grantsByRequest() {
		return c.rangeRequests.granted
	}
	return c.rangeLeases.owned(c.view, fleet.ShardGranted)
}
