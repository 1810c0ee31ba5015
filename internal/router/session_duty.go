package router

import (
	"context"
	"crypto/rand"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fsm"
	"endivespring/internal/metrics"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

const (
	reconnectDelay = 50 * time.Millisecond // delay before connecting to the next control process
	// reportedDelay is the delay of the duty from which on it is logged. Within it a caller
	// may have left before its request is read.
	reportedDelay = 250 * time.Millisecond
)

// sessionDuty owns the router's session with the control processes. It renews the
// session, publishes view and lease updates to the gateway and executor duties, and
// follows the leader when it changes.
type sessionDuty struct {
	fleet         string
	finder        *session.Finder
	core          *session.Core
	clock         clock.Clock
	events        event.Recorder
	releases      *ring.Ring[[]fsm.ShardRelease]
	registrations *ring.Ring[registration]
	rangeUpdates  *ring.Ring[rangeUpdate]
	// seeds receives the addresses of control processes after a reload of the settings.
	seeds    *ring.Ring[[]string]
	closing  *ring.Ring[struct{}]
	closed   *ring.Ring[struct{}]
	gateway  *ring.Ring[session.Update]
	executor *ring.Ring[session.Update]

	meter *metrics.SessionMeter

	// address is the control process in use. redirected is set after it redirected
	// to the leader, which is then tried without delay.
	address    string
	redirected bool
	// connected is set once the leader has renewed the session on the stream in use.
	connected bool
	// consecutiveRefusals counts successive streams refused by control processes
	// of another fleet.
	consecutiveRefusals int
	viewExpiry          clock.Instant
	viewExpired         bool
	// wakeAt is when the timer of serve is due.
	wakeAt clock.Instant
}

// Run keeps a stream to the leader until the session is closed or the context
// ends.
func (d *sessionDuty) Run(ctx context.Context) error {
	for ctx.Err() == nil && !d.core.Closed() {
		d.redirected = false
		d.address = d.finder.Next(d.clock.Now())
		d.attach(ctx, d.address)
		if !d.redirected {
			d.backOff(ctx)
		}
	}
	_ = d.closed.Put(ctx, struct{}{})
	return nil
}

// backOff waits before the next connection attempt and meanwhile handles the input
// of other duties. The delay is longer once every known control process has refused
// the fleet.
func (d *sessionDuty) backOff(ctx context.Context) {
	delay := reconnectDelay
	if d.consecutiveRefusals >= d.finder.Len() {
		delay = peer.FleetRetryDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		d.recordViewExpiry()
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case r := <-d.registrations.Out():
			d.register(&r)
		case releases := <-d.releases.Out():
			d.core.Release(d.clock.Now(), releases)
		case update := <-d.rangeUpdates.Out():
			d.reportRanges(&update)
		case addresses := <-d.seeds.Out():
			d.finder.SetSeeds(addresses)
		case <-d.closing.Out():
			d.core.Close(d.clock.Now())
		}
	}
}

// attach runs one stream until it fails, times out, needs a resync or redirects to
// the leader, or until the session is closed.
func (d *sessionDuty) attach(ctx context.Context, address string) {
	connection, err := peer.Dial(address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.core.Connected(d.clock.Now())
	stream := newControlStream(d.fleet)
	go stream.run(ctx, wirepb.NewSessionsClient(connection))
	d.connected = false
	cause := d.serve(ctx, stream)
	if d.connected {
		d.events.Record(event.ControlLost, event.F("address", address), event.F("cause", cause),
			event.F("silent", d.core.Silence(d.clock.Now())), event.F("view", uint64(d.core.Applied())))
	}
}

// serve drives the session on a stream. It returns why the stream is not used any more.
func (d *sessionDuty) serve(ctx context.Context, stream *controlStream) (cause string) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	d.wakeAt = d.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return "stopped"
		case err := <-stream.ended.Out():
			d.recordFleetRefusal(err)
			return err.Error()
		case <-timer.C:
			d.recordDelay(d.clock.Now())
			if d.core.TimedOut(d.clock.Now()) {
				d.finder.MarkUnresponsive(d.clock.Now())
				d.events.Record(event.ConnectionRetired, event.F("peer", "control"))
				return "timed out"
			}
		case <-stream.progress.Out():
			d.core.Progress(d.clock.Now())
		case down := <-stream.incoming.Out():
			if cause := d.receive(ctx, &down); cause != "" {
				return cause
			}
		case r := <-d.registrations.Out():
			d.register(&r)
		case releases := <-d.releases.Out():
			d.core.Release(d.clock.Now(), releases)
		case update := <-d.rangeUpdates.Out():
			d.reportRanges(&update)
		case addresses := <-d.seeds.Out():
			d.finder.SetSeeds(addresses)
		case <-d.closing.Out():
			d.core.Close(d.clock.Now())
		}
		d.recordViewExpiry()
		if up, due := d.core.DueRenewal(d.clock.Now()); due {
			_ = stream.outgoing.Put(ctx, up)
		}
		now := d.clock.Now()
		d.wakeAt = max(now.Add(time.Millisecond), d.core.Deadline())
		timer.Reset(d.wakeAt.Sub(now))
	}
}

func (d *sessionDuty) register(r *registration) {
	now := d.clock.Now()
	if r.departure.Name != "" {
		d.core.SetDeparture(now, r.departure)
		return
	}
	d.core.SetRegistration(now, r.upstream, r.leaving, r.departed)
}

// recordDelay logs that the duty runs later than its timer was due.
func (d *sessionDuty) recordDelay(now clock.Instant) {
	if late := now.Sub(d.wakeAt); late >= reportedDelay {
		d.events.Record(event.DutyDelayed, event.F("late", late))
	}
}

// reportRanges passes an update of the executor on ranges of keys to the session
// core.
func (d *sessionDuty) reportRanges(update *rangeUpdate) {
	if len(update.reports) > 0 {
		d.core.ReportRanges(d.clock.Now(), update.reports)
	}
	if len(update.loads) > 0 {
		d.core.ReportLoads(update.loads, update.runTime, update.limit)
	}
}

// recordFleetRefusal logs a stream refused because the control process belongs to
// another fleet.
func (d *sessionDuty) recordFleetRefusal(err error) {
	if !peer.IsFleetRefused(err) {
		d.consecutiveRefusals = 0
		return
	}
	d.consecutiveRefusals++
	d.events.Record(event.RefusedByFleet, event.F("address", d.address), event.F("fleet", d.fleet))
}

// recordViewExpiry logs when the view lease expires and when it is renewed after
// that.
func (d *sessionDuty) recordViewExpiry() {
	expired := d.viewExpiry != 0 && d.clock.Now() >= d.viewExpiry
	if expired == d.viewExpired {
		return
	}
	d.viewExpired = expired
	if expired {
		d.events.Record(event.ViewExpired)
		return
	}
	d.events.Record(event.ViewRenewed)
}

// receive handles a message. It returns why the stream must not be used any more, or an
// empty string.
func (d *sessionDuty) receive(ctx context.Context, down *session.ControlMessage) (cause string) {
	if down.Redirect {
		d.core.Redirected(d.clock.Now())
		d.redirected = d.finder.Redirected(d.clock.Now(), down.Leader)
		return "redirected"
	}
	if d.core.IsRejection(down) {
		d.publish(ctx, d.core.HandleRejection(d.clock.Now(), down, rand.Text()))
		return ""
	}
	d.finder.SetMembers(down.Members)
	update, resync := d.core.Receive(d.clock.Now(), down)
	if update.Change != nil {
		d.events.Record(event.ViewApplied, event.F("version", uint64(update.Change.To)), event.F("full", update.Change.Full))
	}
	d.publish(ctx, update)
	d.recordConnection(down)
	switch {
	case resync:
		return "change lost"
	case d.core.Closed():
		return "closed"
	default:
		return ""
	}
}

// recordConnection logs the first lease on a stream.
func (d *sessionDuty) recordConnection(down *session.ControlMessage) {
	if d.connected || !down.Lease {
		return
	}
	d.connected = true
	d.events.Record(event.ControlConnected, event.F("address", d.address), event.F("view", uint64(d.core.Applied())))
}

func (d *sessionDuty) publish(ctx context.Context, update session.Update) {
	d.viewExpiry = update.ViewUntil
	d.meter.SetLeases(update.OwnershipUntil, update.ViewUntil)
	d.meter.SetViewConfirmed(d.core.ViewConfirmedAt())
	if update.Change != nil {
		d.meter.SetView(update.Change.To)
	}
	_ = d.gateway.Put(ctx, update)
	_ = d.executor.Put(ctx, update)
}
