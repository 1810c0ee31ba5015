package router

import (
	"context"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/metrics"
)

// reportedAfterCall is how long after its last call a gateway gets load reports. Each
// gateway uses at most 20 executors of a service, but may keep links to more open.
const reportedAfterCall = 2 * time.Second

// loadReporter sends the executor's load to the gateways that use it. It is owned by the
// executor duty. The methods of a nil reporter do nothing.
type loadReporter struct {
	schedule executor.ReportSchedule
	meter    *metrics.LoadMeter
	// lastCalls is when each link brought its last call. Links without one for
	// reportedAfterCall are missing.
	lastCalls map[uint64]clock.Instant
}

func newLoadReporter(meter *metrics.LoadMeter) *loadReporter {
	return &loadReporter{meter: meter, lastCalls: map[uint64]clock.Instant{}}
}

func (r *loadReporter) called(now clock.Instant, link uint64) {
	if r != nil {
		r.lastCalls[link] = now
	}
}

func (r *loadReporter) closed(link uint64) {
	if r != nil {
		delete(r.lastCalls, link)
	}
}

// next returns when a report may be due. It is not before the shortest time between two
// reports has passed, so that the duty does not wake for nothing.
func (r *loadReporter) next(now clock.Instant, load *call.Load) clock.Instant {
	if len(r.lastCalls) == 0 {
		return clock.Never
	}
	return max(now, r.schedule.Next(load))
}

// report sends the load to all gateways in use if it is due. The load is passed by value and
// copied only to be sent: its address escapes to the sinks, which would cost an allocation
// for each turn of the duty.
func (r *loadReporter) report(ctx context.Context, now clock.Instant, load call.Load, sinks map[uint64]answerSink) {
	if r == nil || len(r.lastCalls) == 0 || !r.schedule.Due(now, &load) {
		return
	}
	sent := load
	for link, last := range r.lastCalls {
		sink := sinks[link]
		if sink == nil || now.Sub(last) > reportedAfterCall {
			delete(r.lastCalls, link)
			continue
		}
		r.meter.CountSent(sink.report(ctx, &sent))
	}
}
