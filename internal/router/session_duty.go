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
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const attachDelay = 50 * time.Millisecond // wait before the next control process is tried

// sessionDuty owns the router's session: it renews it, spreads view and lease
// to entry and door, and moves to the leader when it changes.
type sessionDuty struct {
	fleet      string
	finder     *session.Finder
	core       *session.Core
	clock      clock.Clock
	events     event.Recorder
	releases   *ring.Ring[[]fsm.Release]
	registered *ring.Ring[registration]
	ranges     *ring.Ring[rangeNews]
	// seeds are the addresses of control as the settings give them anew.
	seeds    *ring.Ring[[]string]
	closing  *ring.Ring[struct{}]
	closed   *ring.Ring[struct{}]
	gateway  *ring.Ring[session.Update]
	executor *ring.Ring[session.Update]

	meter *metrics.SessionMeter

	// address is the control process in use; following is set if it redirected
	// to the leader.
	address   string
	following bool
	// refusals counts streams in a row that control processes of another fleet
	// refused.
	refusals  int
	viewUntil clock.Instant
	lapsed    bool
}

// Run keeps a stream to the leader until the context ends.
func (d *sessionDuty) Run(ctx context.Context) error {
	for ctx.Err() == nil && !d.core.Closed() {
		d.following = false
		d.address = d.finder.Next(d.clock.Now())
		d.attach(ctx, d.address)
		if !d.following {
			d.pause(ctx)
		}
	}
	_ = d.closed.Put(ctx, struct{}{})
	return nil
}

// pause waits before the next try and keeps taking what others report.
func (d *sessionDuty) pause(ctx context.Context) {
	delay := attachDelay
	if d.refusals >= d.finder.Len() {
		delay = peer.RefusedDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		d.watchView()
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case r := <-d.registered.Out():
			d.core.Registration(d.clock.Now(), r.upstream, r.leaving)
		case releases := <-d.releases.Out():
			d.core.Release(d.clock.Now(), releases)
		case news := <-d.ranges.Out():
			d.report(&news)
		case addresses := <-d.seeds.Out():
			d.finder.Seeds(addresses)
		case <-d.closing.Out():
			d.core.Close(d.clock.Now())
		}
	}
}

// attach runs one stream until it fails, is silent or redirects.
func (d *sessionDuty) attach(ctx context.Context, address string) {
	connection, err := peer.Dial(address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.core.Connected(d.clock.Now())
	outgoing := ring.New[session.Up]("session-up", 8, ring.DropOldest)
	incoming := ring.New[session.Down]("session-in", 64, ring.Wait)
	ended := ring.New[error]("session-ended", 1, ring.DropOldest)
	go func() {
		_ = ended.Put(ctx, d.exchange(ctx, wirepb.NewSessionsClient(connection), outgoing, incoming))
	}()
	d.serve(ctx, outgoing, incoming, ended)
}

// exchange joins the stream to two rings until it fails.
func (d *sessionDuty) exchange(ctx context.Context, client wirepb.SessionsClient, outgoing *ring.Ring[session.Up], incoming *ring.Ring[session.Down]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Attach(ctx)
	if err != nil {
		return err
	}
	go func() {
		defer cancel()
		for {
			up, err := outgoing.Take(ctx)
			if err != nil || stream.Send(wire.FromUp(&up, d.fleet)) != nil {
				return
			}
		}
	}()
	for {
		down, err := stream.Recv()
		if err != nil {
			return err
		}
		message, err := wire.ToDown(down)
		if err != nil {
			return err
		}
		if err := incoming.Put(ctx, message); err != nil {
			return err
		}
	}
}

func (d *sessionDuty) serve(ctx context.Context, outgoing *ring.Ring[session.Up], incoming *ring.Ring[session.Down], ended *ring.Ring[error]) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-ended.Out():
			d.noteRefusal(err)
			return
		case <-timer.C:
			if d.core.Silent(d.clock.Now()) {
				d.finder.GaveUp(d.clock.Now())
				d.events.Record(event.ConnectionRetired, event.F("peer", "control"))
				return
			}
		case down := <-incoming.Out():
			if !d.receive(ctx, &down) {
				return
			}
		case r := <-d.registered.Out():
			d.core.Registration(d.clock.Now(), r.upstream, r.leaving)
		case releases := <-d.releases.Out():
			d.core.Release(d.clock.Now(), releases)
		case news := <-d.ranges.Out():
			d.report(&news)
		case addresses := <-d.seeds.Out():
			d.finder.Seeds(addresses)
		case <-d.closing.Out():
			d.core.Close(d.clock.Now())
		}
		d.watchView()
		if up, due := d.core.Due(d.clock.Now()); due {
			_ = outgoing.Put(ctx, up)
		}
		timer.Reset(max(time.Millisecond, d.core.Deadline().Sub(d.clock.Now())))
	}
}

// report takes what the door says of ranges of keys.
func (d *sessionDuty) report(news *rangeNews) {
	if len(news.reports) > 0 {
		d.core.ReportRanges(d.clock.Now(), news.reports)
	}
	if len(news.loads) > 0 {
		d.core.ReportLoads(news.loads, news.runTime)
	}
}

// noteRefusal logs that control belongs to another fleet.
func (d *sessionDuty) noteRefusal(err error) {
	if !peer.RefusedFleet(err) {
		d.refusals = 0
		return
	}
	d.refusals++
	d.events.Record(event.RefusedByFleet, event.F("address", d.address), event.F("fleet", d.fleet))
}

// watchView logs when the view lapses and when it is current again.
func (d *sessionDuty) watchView() {
	lapsed := d.viewUntil != 0 && d.clock.Now() >= d.viewUntil
	if lapsed == d.lapsed {
		return
	}
	d.lapsed = lapsed
	if lapsed {
		d.events.Record(event.ViewExpired)
		return
	}
	d.events.Record(event.ViewRenewed)
}

// receive takes a message and reports whether the stream is still of use.
func (d *sessionDuty) receive(ctx context.Context, down *session.Down) bool {
	if down.Redirect {
		d.core.Redirected(d.clock.Now())
		d.following = d.finder.Redirected(d.clock.Now(), down.Leader)
		return false
	}
	if d.core.Rejects(down) {
		d.spread(ctx, d.core.Rejected(d.clock.Now(), down, rand.Text()))
		return true
	}
	d.finder.Members(down.Members)
	update, resync := d.core.Receive(d.clock.Now(), down)
	if update.Change != nil {
		d.events.Record(event.ViewApplied, event.F("version", uint64(update.Change.To)), event.F("full", update.Change.Full))
	}
	d.spread(ctx, update)
	return !resync && !d.core.Closed()
}

func (d *sessionDuty) spread(ctx context.Context, update session.Update) {
	d.viewUntil = update.ViewUntil
	d.meter.Leases(update.OwnUntil, update.ViewUntil)
	if update.Change != nil {
		d.meter.View(update.Change.To)
	}
	_ = d.gateway.Put(ctx, update)
	_ = d.executor.Put(ctx, update)
}
