package router

import (
	"context"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/upstream"
)

// exitSilence is the time without a heartbeat after which a refused connection
// means that the upstream has exited. It exceeds the heartbeat interval.
const exitSilence = 1200 * time.Millisecond

// handleHeartbeat processes a heartbeat and answers it. One that is older than the
// last, or arrives after the same start of the upstream has ended, changes nothing
// and renews no lease.
func (d *executorDuty) handleHeartbeat(ctx context.Context, notice *upstream.Notice) {
	now, heartbeat := d.clock.Now(), notice.Beat
	sameStart := d.lastHeartbeat != nil && d.lastHeartbeat.Born == heartbeat.Born && d.upstream.Boot == notice.Upstream.Boot
	if !heartbeat.NewerThan(d.lastHeartbeat) || d.upstreamExited && sameStart {
		d.events.Record(event.HeartbeatLate, event.F("upstream", notice.Upstream.Name), event.F("boot", notice.Upstream.Boot),
			event.F("sequence", heartbeat.Sequence))
		heartbeat.Reply.Send(executor.LeaseAnswer{})
		return
	}
	wasDraining := sameStart && d.lastHeartbeat.Draining
	if !sameStart {
		d.events.Record(event.UpstreamAnnounced, event.F("upstream", notice.Upstream.Name),
			event.F("service", notice.Upstream.Service), event.F("boot", notice.Upstream.Boot))
		d.upstreamExited = false
	}
	d.lastHeartbeat = heartbeat
	d.applyHeartbeat(ctx, now, notice, wasDraining)
	heartbeat.Reply.Send(d.core.Heartbeat(now, &heartbeat.Heartbeat))
}

// applyHeartbeat adopts the upstream of a heartbeat, or leaves it when it starts
// draining.
func (d *executorDuty) applyHeartbeat(ctx context.Context, now clock.Instant, notice *upstream.Notice, wasDraining bool) {
	if notice.Beat.Draining && !wasDraining {
		d.events.Record(event.UpstreamLeft, event.F("upstream", notice.Upstream.Name))
		d.adopt(ctx, now, notice.Upstream)
		d.leave(ctx)
		return
	}
	d.lastContact = now
	if !notice.Beat.Draining && (d.upstream != notice.Upstream || d.upstreamGone && !d.retiring) {
		d.adopt(ctx, now, notice.Upstream)
	}
}

// sendRanges queues reports on ranges of keys for the session duty. A report that a
// full ring refuses is not lost: revoked ranges are examined again at each
// heartbeat.
func (d *executorDuty) sendRanges(ctx context.Context, out *executor.Output) {
	if len(out.RangeReports) == 0 && len(out.KeyLoads) == 0 {
		return
	}
	if d.rangeUpdates.Put(ctx, rangeUpdate{reports: out.RangeReports, loads: out.KeyLoads, runTime: out.RunTime}) != nil {
		d.events.Record(event.RangesUnreported, event.F("reports", len(out.RangeReports)))
	}
}

// connectionRefused handles a refused connection to the upstream. If heartbeats are
// missing too, the upstream has exited and holds no ranges of keys.
func (d *executorDuty) connectionRefused() {
	now := d.clock.Now()
	if d.lastHeartbeat == nil || d.upstreamExited || now.Sub(d.lastContact) < exitSilence {
		return
	}
	d.upstreamExited = true
	d.events.Record(event.UpstreamLost, event.F("upstream", d.upstream.Name))
	d.core.UpstreamEnded()
	d.leave(context.Background())
}
