package router

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const (
	linkCapacity = 512              // calls waiting for one link, above what a door runs and queues; 4 KB
	idleTimeout  = 30 * time.Second // time without calls after which a link is closed
)

// link carries calls to one router's door over one stream. It ends for good
// when the stream fails; the entry opens a new one for the next call.
type link struct {
	fleet   string
	router  fleet.RouterID
	address string
	clock   clock.Clock
	calls   *ring.Ring[*outgoing]
	answers *ring.Ring[*inboundAnswer]
	events  event.Recorder
	heard   *ring.Ring[clock.Instant]
	// waiting counts the calls that have no answer yet.
	waiting atomic.Int64
}

func newLink(fleetName string, r fleet.Router, c clock.Clock, answers *ring.Ring[*inboundAnswer], events event.Recorder) *link {
	return &link{
		fleet: fleetName, router: r.ID, address: r.Address, clock: c, answers: answers, events: events,
		calls: ring.New[*outgoing]("link-"+string(r.ID), linkCapacity, ring.Refuse),
		heard: ring.New[clock.Instant]("link-heard", 1, ring.DropOldest),
	}
}

// Run opens the stream and sends calls until it fails. Calls that were never
// written are reported as not run.
func (l *link) Run(ctx context.Context) error {
	_ = l.stream(ctx)
	for l.calls.Depth() > 0 {
		out := <-l.calls.Out()
		if out.cancel {
			continue
		}
		lost := &inboundAnswer{from: l.router, lost: true, verdict: verdict.NotRun}
		lost.answer.Number = out.call.Number
		_ = l.answers.Put(ctx, lost)
	}
	_ = l.answers.Put(ctx, &inboundAnswer{from: l.router, ended: l})
	return nil
}

func (l *link) stream(ctx context.Context) error {
	connection, err := peer.Dial(l.address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(silentTimeout, cancel)
	stream, err := wirepb.NewDoorsClient(connection).Link(ctx)
	opening.Stop()
	if err != nil {
		return err
	}
	l.events.Record(event.PeerConnected, event.F("router", string(l.router)), event.F("address", l.address))
	go func() {
		defer cancel()
		l.receive(ctx, stream)
	}()
	return l.send(ctx, stream, cancel)
}

// send writes calls and probes the door. It returns when the link is silent,
// idle or broken.
func (l *link) send(ctx context.Context, stream grpc.BidiStreamingClient[wirepb.DoorUp, wirepb.DoorDown], cancel func()) error {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	used, probes := l.clock.Now(), probing{}
	for {
		var up *wirepb.DoorUp
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.heard.Out():
			probes.heard()
			continue
		case out := <-l.calls.Out():
			used = l.clock.Now()
			up = l.message(out, used)
			l.count(out)
		case <-ping.C:
			now := l.clock.Now()
			if probes.silent(now) {
				l.events.Record(event.ConnectionRetired, event.F("router", string(l.router)), event.F("address", l.address))
				return context.DeadlineExceeded
			}
			if now.Sub(used) > idleTimeout {
				return nil
			}
			if !probes.due(now, l.waiting.Load() > 0) {
				continue
			}
			up = &wirepb.DoorUp{Fleet: l.fleet, Ping: uint64(now)}
		}
		watchdog := time.AfterFunc(silentTimeout, cancel)
		err := stream.Send(up)
		watchdog.Stop()
		if err != nil {
			return err
		}
	}
}

func (l *link) message(out *outgoing, now clock.Instant) *wirepb.DoorUp {
	if out.cancel {
		return &wirepb.DoorUp{Fleet: l.fleet, Cancel: out.call.Number}
	}
	return &wirepb.DoorUp{Fleet: l.fleet, Call: wire.FromCall(&out.call, now)}
}

// count takes a call that waits from now on, or one that does so no longer.
func (l *link) count(out *outgoing) {
	if out.cancel {
		l.answered()
		return
	}
	l.waiting.Add(1)
}

// answered takes the end of a call. An answer and a cancellation may cross, so
// that one call ends twice.
func (l *link) answered() {
	if l.waiting.Add(-1) < 0 {
		l.waiting.Store(0)
	}
}

// receive brings answers to the entry. An answer whose body does not match its
// checksum is taken as a lost one.
func (l *link) receive(ctx context.Context, stream grpc.BidiStreamingClient[wirepb.DoorUp, wirepb.DoorDown]) {
	for {
		down, err := stream.Recv()
		if err != nil {
			if peer.RefusedFleet(err) {
				l.events.Record(event.RefusedByFleet, event.F("address", l.address), event.F("fleet", l.fleet))
			}
			return
		}
		_ = l.heard.Put(ctx, l.clock.Now())
		if down.GetAnswer() == nil {
			continue
		}
		l.answered()
		answer, whole := wire.ToAnswer(down.GetAnswer())
		in := &inboundAnswer{from: l.router, answer: answer}
		if !whole {
			in.lost, in.verdict = true, verdict.MayHaveRun
		}
		if l.answers.Put(ctx, in) != nil {
			return
		}
	}
}
