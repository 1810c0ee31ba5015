package router

import (
	"context"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/upstream"
)

// handleDeparture withdraws the upstream that has left, if it is the present one. The departure
// is acknowledged once control has replicated it: this process may end at any time, and a
// heartbeat that was sent before would bring the upstream back.
func (d *executorDuty) handleDeparture(ctx context.Context, notification *upstream.Notification) {
	now := d.clock.Now()
	awaited := &awaitedDeparture{acknowledged: notification.Acknowledged, until: now.Add(registrationTime)}
	if notification.Name != "" {
		awaited.departure = fleet.Departure{Name: notification.Name, Millis: time.Now().UnixMilli()}
		d.departures.record(awaited.departure)
		_ = d.registrations.Put(ctx, registration{departure: awaited.departure})
	}
	if notification.Name == "" || notification.Name == d.upstream.Name {
		d.events.Record(event.UpstreamLeft, event.F("upstream", d.upstream.Name))
		d.leftAt, d.upstreamExited, d.upstreamDeparted = now, true, true
		d.withdrawUpstream(ctx)
		awaited.boot = d.upstream.Boot
	}
	d.answerDeparture(false)
	d.leaving = awaited
	d.answerRegistered(now)
}

// departureRegistered reports whether the view shows the awaited departure.
func (d *executorDuty) departureRegistered() bool {
	l := d.leaving
	return (l.boot == "" || d.core.DepartureRegistered(l.boot)) && (l.departure.Name == "" || d.core.LastDeparture().Includes(l.departure))
}

// answerDepartureRegistered acknowledges the awaited departure once the view shows it, or refuses
// to once its time is over.
func (d *executorDuty) answerDepartureRegistered(now clock.Instant) {
	switch {
	case d.leaving == nil:
	case d.departureRegistered():
		d.answerDeparture(true)
	case now >= d.leaving.until:
		d.answerDeparture(false)
	}
}

func (d *executorDuty) answerDeparture(recorded bool) {
	if d.leaving != nil && d.leaving.acknowledged.Ring != nil {
		d.leaving.acknowledged.Send(recorded)
	}
	d.leaving = nil
}
