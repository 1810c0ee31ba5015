package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

const (
	minReportInterval     = 50 * time.Millisecond // shortest time between two reports
	regularReportInterval = time.Second           // time between reports of an unchanged load
	// fullReportInterval is the time between reports while no slot is free. Gateways
	// disregard reports above 300 ms for refusals, so a full executor must report more
	// often than that for its reports to have an effect.
	fullReportInterval = 200 * time.Millisecond
	slowdownChange     = 1.0 / 3               // share by which a changed slowdown is reported
	waitChange         = 0.25                  // share by which a changed wait is reported
	minWaitChange      = 20 * time.Millisecond // shortest change of the wait that is reported
)

// ReportSchedule decides when an executor reports its load to gateways between answers.
type ReportSchedule struct {
	last   call.Load
	lastAt clock.Instant
	sent   bool
}

// Due reports whether the load is to be reported now, and then counts it as reported.
func (s *ReportSchedule) Due(now clock.Instant, load *call.Load) bool {
	if now < s.Next(load) {
		return false
	}
	s.last, s.lastAt, s.sent = *load, now, true
	return true
}

// Next returns when the load is to be reported if it does not change until then.
func (s *ReportSchedule) Next(load *call.Load) clock.Instant {
	switch {
	case !s.sent:
		return 0
	case s.changed(load):
		return s.lastAt.Add(minReportInterval)
	case isFull(load):
		return s.lastAt.Add(fullReportInterval)
	default:
		return s.lastAt.Add(regularReportInterval)
	}
}

// changed reports whether the load differs much from the last one reported.
func (s *ReportSchedule) changed(load *call.Load) bool {
	if isFull(load) != isFull(&s.last) {
		return true
	}
	before, after := slowdownOf(&s.last), slowdownOf(load)
	if after > before*(1+slowdownChange) || before > after*(1+slowdownChange) {
		return true
	}
	difference := (load.ExpectedWait() - s.last.ExpectedWait()).Abs()
	return difference > minWaitChange && float64(difference) > waitChange*float64(s.last.ExpectedWait())
}

func isFull(load *call.Load) bool { return load.InFlight >= load.Limit }

func slowdownOf(load *call.Load) float64 {
	if load.Slowdown <= 0 {
		return 1
	}
	return load.Slowdown
}
