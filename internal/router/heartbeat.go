package router

import (
	"context"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/upstream"
)

// missedHeartbeatTime is the time without a heartbeat after which a refused connection
// means that the upstream has exited. It exceeds the heartbeat interval.
const missedHeartbeatTime = 1200 * time.Millisecond

// registrationTime is how long the answer to a heartbeat or to a departure is delayed until
// control has registered the upstream or its departure. Upstreams wait for a second.
const registrationTime = 500 * time.Millisecond

// handleHeartbeat processes a heartbeat and answers it. One that is older than the
// last, or comes from a boot that has already exited, changes nothing and renews no
// lease.
func (d *executorDuty) handleHeartbeat(ctx context.Context, notification *upstream.Notification) {
	now, heartbeat := d.clock.Now(), notification.Heartbeat
	if !d.core.KnowsFleet() {
		d.keepEarly(notification)
		d.answerWithoutLeases(heartbeat)
		return
	}
	if !d.isCurrent(now, heartbeat) {
		d.recordLate(heartbeat)
		d.answerWithoutLeases(heartbeat)
		return
	}
	d.acceptHeartbeat(ctx, now, notification)
	d.answerAwaiting(now)
	d.awaiting, d.awaitingUntil = heartbeat, now.Add(registrationTime)
	d.answerRegistered(now)
}

// answerRegistered answers the heartbeat that awaits the registration of its upstream, or that
// it drains, once the view shows that or its time is over; and so with a departure.
func (d *executorDuty) answerRegistered(now clock.Instant) {
	if d.awaiting != nil && (now >= d.awaitingUntil || !d.core.AwaitsRegistration() && !d.unrecorded(d.awaiting)) {
		d.answerAwaiting(now)
	}
	d.answerDepartureRegistered(now)
}

// unrecorded reports whether a heartbeat says that its upstream drains, and control has not
// replicated that.
func (d *executorDuty) unrecorded(heartbeat *upstream.Heartbeat) bool {
	return heartbeat.Draining && !d.core.DepartureRegistered(heartbeat.Upstream.Boot)
}

func (d *executorDuty) answerWithoutLeases(heartbeat *upstream.Heartbeat) {
	heartbeat.Reply.Send(executor.LeaseAnswer{Unacknowledged: d.unrecorded(heartbeat)})
}

func (d *executorDuty) answerAwaiting(now clock.Instant) {
	if d.awaiting == nil {
		return
	}
	heartbeat := d.awaiting
	d.awaiting = nil
	answer := d.core.Heartbeat(now, &heartbeat.Heartbeat)
	answer.Unacknowledged = d.unrecorded(heartbeat)
	heartbeat.Reply.Send(answer)
}

func (d *executorDuty) recordLate(heartbeat *upstream.Heartbeat) {
	d.events.Record(event.HeartbeatLate, event.F("upstream", heartbeat.Upstream.Name), event.F("boot", heartbeat.Upstream.Boot),
		event.F("sequence", heartbeat.Sequence))
}

// isCurrent reports whether a heartbeat comes from the present boot of the upstream and is
// newer than the last one.
func (d *executorDuty) isCurrent(now clock.Instant, heartbeat *upstream.Heartbeat) bool {
	if d.departures.includes(&heartbeat.Upstream) {
		return d.earlierBoot.proves(now, heartbeat)
	}
	if d.isLastBoot(heartbeat) {
		return !d.upstreamExited && heartbeat.NewerThan(d.lastHeartbeat)
	}
	if heartbeat.NewerThan(d.lastHeartbeat) && !d.core.StartedEarlier(&heartbeat.Upstream) {
		return true
	}
	return d.earlierBoot.proves(now, heartbeat)
}

// isLastBoot reports whether a heartbeat comes from the same boot as the last one.
func (d *executorDuty) isLastBoot(heartbeat *upstream.Heartbeat) bool {
	return d.lastHeartbeat != nil && d.lastHeartbeat.Upstream.Boot == heartbeat.Upstream.Boot
}

// acceptHeartbeat makes the boot of a heartbeat the present one.
func (d *executorDuty) acceptHeartbeat(ctx context.Context, now clock.Instant, notification *upstream.Notification) {
	heartbeat := notification.Heartbeat
	sameBoot := d.isLastBoot(heartbeat)
	wasDraining := sameBoot && d.lastHeartbeat.Draining
	if !sameBoot {
		d.events.Record(event.UpstreamAnnounced, event.F("upstream", notification.Upstream.Name),
			event.F("service", notification.Upstream.Service), event.F("boot", notification.Upstream.Boot))
		d.upstreamExited = false
	}
	d.lastHeartbeat, d.earlierBoot = heartbeat, earlierBoot{}
	heartbeat.Newer = heartbeat.NewerThanRouter(d.startMillis)
	d.applyHeartbeat(ctx, now, notification, wasDraining)
	d.core.Observe(now, &heartbeat.Heartbeat)
}

// keepEarly keeps the newest heartbeat that arrives before the first lease of a view: it may
// be late, and only the view shows a later boot that an earlier process of the router knew.
func (d *executorDuty) keepEarly(notification *upstream.Notification) {
	if d.early == nil || notification.Heartbeat.NewerThan(d.early.Heartbeat) {
		early := *notification
		d.early = &early
	}
}

// applyEarly registers the upstream of the heartbeat that was kept until the first lease of a
// view, unless a later boot is known. Its next heartbeat is answered with leases.
func (d *executorDuty) applyEarly(ctx context.Context) {
	if d.early == nil || !d.core.KnowsFleet() {
		return
	}
	early, now := d.early, d.clock.Now()
	d.early = nil
	switch {
	case !d.core.Expects(early.Upstream):
		d.recordUnexpected(early.Upstream)
	case !d.isCurrent(now, early.Heartbeat):
		d.recordLate(early.Heartbeat)
	default:
		d.acceptHeartbeat(ctx, now, early)
	}
}

// ignoreUnexpected answers an announcement or heartbeat that does not come from the
// upstream beside the router. It changes nothing.
func (d *executorDuty) ignoreUnexpected(notification *upstream.Notification) {
	d.recordUnexpected(notification.Upstream)
	if notification.Heartbeat != nil {
		notification.Heartbeat.Reply.Send(executor.LeaseAnswer{Unexpected: true})
	}
}

func (d *executorDuty) recordUnexpected(u fleet.Upstream) {
	d.events.Record(event.UpstreamUnexpected, event.F("upstream", u.Name), event.F("service", u.Service), event.F("boot", u.Boot))
}

// applyHeartbeat registers the upstream of a heartbeat, or withdraws it once it is
// draining.
func (d *executorDuty) applyHeartbeat(ctx context.Context, now clock.Instant, notification *upstream.Notification, wasDraining bool) {
	if notification.Heartbeat.Draining && !wasDraining {
		d.events.Record(event.UpstreamLeft, event.F("upstream", notification.Upstream.Name))
		d.registerUpstream(ctx, now, notification.Upstream)
		d.upstreamDeparted = true
		d.withdrawUpstream(ctx)
		return
	}
	d.lastContact = now
	if !notification.Heartbeat.Draining && (d.upstream != notification.Upstream || d.upstreamGone && !d.shutdownStarted) {
		d.registerUpstream(ctx, now, notification.Upstream)
	}
}

// sendRanges queues reports on ranges of keys for the session duty. Releases that a
// full ring refuses are not lost, since revoked ranges are examined again at each
// heartbeat; key loads are.
func (d *executorDuty) sendRanges(ctx context.Context, out *executor.Output) {
	if len(out.RangeReports) == 0 && len(out.KeyLoads) == 0 {
		return
	}
	if d.rangeUpdates.Put(ctx, rangeUpdate{reports: out.RangeReports, loads: out.KeyLoads, runTime: out.RunTime, limit: out.Limit}) != nil {
		d.events.Record(event.RangesUnreported, event.F("reports", len(out.RangeReports)))
	}
}

// connectionRefused handles a refused connection to the upstream. If heartbeats are
// missing too, the upstream has exited and holds no ranges of keys.
func (d *executorDuty) connectionRefused() {
	now := d.clock.Now()
	if d.lastHeartbeat == nil || d.upstreamExited || now.Sub(d.lastContact) < missedHeartbeatTime {
		return
	}
	d.upstreamExited = true
	d.events.Record(event.UpstreamLost, event.F("upstream", d.upstream.Name))
	d.core.UpstreamEnded(now)
	d.withdrawUpstream(context.Background())
}
