package router

import (
	"context"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/upstream"
)

// silentBeats is the time without a heartbeat after which a refused connection
// means that the upstream's process has ended; heartbeats come more often.
const silentBeats = 1200 * time.Millisecond

// heartbeat takes a heartbeat and answers it. One that is late, or comes after
// the upstream said that it is gone, changes and renews nothing.
func (d *executorDuty) heartbeat(ctx context.Context, notice *upstream.Notice) {
	now, beat := d.clock.Now(), notice.Beat
	sameStart := d.beat != nil && d.beat.Born == beat.Born && d.upstream.Boot == notice.Upstream.Boot
	if !beat.NewerThan(d.beat) || d.ended && sameStart {
		d.events.Record(event.HeartbeatLate, event.F("upstream", notice.Upstream.Name), event.F("boot", notice.Upstream.Boot),
			event.F("sequence", beat.Sequence))
		beat.Reply.Send(executor.LeaseAnswer{})
		return
	}
	wasDraining := sameStart && d.beat.Draining
	if !sameStart {
		d.events.Record(event.UpstreamAnnounced, event.F("upstream", notice.Upstream.Name),
			event.F("service", notice.Upstream.Service), event.F("boot", notice.Upstream.Boot))
		d.ended = false
	}
	d.beat = beat
	d.welcome(ctx, now, notice, wasDraining)
	beat.Reply.Send(d.core.Heartbeat(now, &beat.Heartbeat))
}

// welcome takes or leaves the upstream of a heartbeat.
func (d *executorDuty) welcome(ctx context.Context, now clock.Instant, notice *upstream.Notice, wasDraining bool) {
	if notice.Beat.Draining && !wasDraining {
		d.events.Record(event.UpstreamLeft, event.F("upstream", notice.Upstream.Name))
		d.adopt(ctx, now, notice.Upstream)
		d.leave(ctx)
		return
	}
	d.heardAt = now
	if !notice.Beat.Draining && (d.upstream != notice.Upstream || d.gone && !d.retiring) {
		d.adopt(ctx, now, notice.Upstream)
	}
}

// sendRanges tells control of ranges of keys. What a full ring refuses is
// found again: ranges asked back are looked at with every heartbeat.
func (d *executorDuty) sendRanges(ctx context.Context, out *executor.Output) {
	if len(out.RangeReports) == 0 && len(out.KeyLoads) == 0 {
		return
	}
	if d.ranges.Put(ctx, rangeNews{reports: out.RangeReports, loads: out.KeyLoads, runTime: out.RunTime}) != nil {
		d.events.Record(event.RangesUnreported, event.F("reports", len(out.RangeReports)))
	}
}

// refused takes a refused connection to the upstream. Nobody listens there; if
// the upstream is silent as well, its process has ended and holds nothing.
func (d *executorDuty) refused() {
	now := d.clock.Now()
	if d.beat == nil || d.ended || now.Sub(d.heardAt) < silentBeats {
		return
	}
	d.ended = true
	d.events.Record(event.UpstreamLost, event.F("upstream", d.upstream.Name))
	d.core.UpstreamEnded()
	d.leave(context.Background())
}
