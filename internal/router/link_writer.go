package router

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"google.golang.org/grpc"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// linkWriter writes calls, cancellations and pings to the stream of a link. Bodies above
// wire.MaxInlineBody follow their calls in parts, with other messages in between. It is
// owned by the goroutine that runs it.
type linkWriter struct {
	*link
	stream grpc.BidiStreamingClient[wirepb.DoorUp, wirepb.DoorDown]
	// watchdog ends the stream if a message can't be written in time.
	watchdog *time.Timer
	ping     *time.Timer
	pinger   linkPinger
	// used is when the last call was sent.
	used clock.Instant
	// bodies are those whose parts are still to be sent. partDue is signalled while there
	// are any.
	bodies  []outgoingBody
	partDue *ring.Ring[struct{}]
	// closing is set once the other router asks for no more calls. Cancellations of those in
	// flight are still sent.
	closing bool
}

func newLinkWriter(l *link, stream grpc.BidiStreamingClient[wirepb.DoorUp, wirepb.DoorDown], cancel func()) *linkWriter {
	now := l.clock.Now()
	w := &linkWriter{
		link: l, stream: stream, watchdog: time.AfterFunc(peerTimeout, cancel), ping: time.NewTimer(idlePingInterval),
		pinger: linkPinger{lastPing: now}, used: now, partDue: ring.New[struct{}]("link-parts", 1, ring.DropOldest),
	}
	w.watchdog.Stop()
	return w
}

// run returns when the peer times out, the link is idle or the stream fails.
func (w *linkWriter) run(ctx context.Context) error {
	defer w.watchdog.Stop()
	defer w.ping.Stop()
	for {
		if w.closing && len(w.bodies) == 0 && w.inFlight.Load() == 0 {
			return w.awaitEnd(ctx, w.stream)
		}
		up, err := w.next(ctx)
		if err != nil || w.idle() {
			return err
		}
		if up == nil {
			continue
		}
		w.watchdog.Reset(peerTimeout)
		err = w.stream.Send(up)
		w.watchdog.Stop()
		if errors.Is(err, io.EOF) {
			w.awaitReceived(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// awaitReceived waits until the answers that arrived before the end of the stream are read, but
// no longer than peerTimeout.
func (w *linkWriter) awaitReceived(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	<-limited.Done()
}

// next waits for the next message to send. It is nil if there is none yet.
func (w *linkWriter) next(ctx context.Context) (*wirepb.DoorUp, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.retired.Out():
		w.closing = true
		return nil, w.answers.Put(ctx, &inboundAnswer{from: w.router, retired: w.link})
	case number := <-w.settled.Out():
		w.dropBody(ctx, number)
		return nil, nil
	case out := <-w.calls.Out():
		return w.message(ctx, out), nil
	case <-w.partDue.Out():
		return w.nextPart(ctx), nil
	case <-w.ping.C:
		return w.pingIfDue()
	}
}

// message returns the message of a call or a cancellation, or nil if the call is not sent
// because its caller has gone or the other router takes no more calls.
func (w *linkWriter) message(ctx context.Context, out *outgoingCall) *wirepb.DoorUp {
	w.used = w.clock.Now()
	if out.isCall() && w.closing || out.callerGone(w.used) {
		w.reportUnsent(ctx, out.call.Number)
		return nil
	}
	if out.withdraw {
		return w.withdrawal(ctx, out.call.Number)
	}
	if w.trackInFlight(out) {
		w.ping.Reset(pingInterval)
	}
	switch {
	case out.cancel:
		w.dropBody(ctx, out.call.Number)
		return &wirepb.DoorUp{Fleet: w.fleet, Cancel: out.call.Number}
	case len(out.call.Body) > wire.MaxInlineBody && w.takesParts:
		w.setBodies(ctx, append(w.bodies, outgoingBody{number: out.call.Number, rest: out.call.Body}))
		return &wirepb.DoorUp{Fleet: w.fleet, Call: wire.FromCallHead(&out.call, w.used)}
	default:
		return &wirepb.DoorUp{Fleet: w.fleet, Call: wire.FromCall(&out.call, w.used)}
	}
}

// withdrawal returns the message that withdraws a call. One whose body was not sent as a whole
// can't have run and is cancelled.
func (w *linkWriter) withdrawal(ctx context.Context, number uint64) *wirepb.DoorUp {
	if slices.ContainsFunc(w.bodies, func(b outgoingBody) bool { return b.number == number }) {
		w.dropBody(ctx, number)
		w.callEnded()
		w.reportUnsent(ctx, number)
		return &wirepb.DoorUp{Fleet: w.fleet, Cancel: number}
	}
	return &wirepb.DoorUp{Fleet: w.fleet, Ping: uint64(w.used), Withdraw: number}
}

// nextPart returns the next part of a body; the bodies take turns.
func (w *linkWriter) nextPart(ctx context.Context) *wirepb.DoorUp {
	if len(w.bodies) == 0 {
		return nil
	}
	body := w.bodies[0]
	part, rest := wire.NextPart(body.number, body.rest)
	bodies := w.bodies[1:]
	if len(rest) > 0 {
		bodies = append(bodies, outgoingBody{number: body.number, rest: rest})
	}
	w.setBodies(ctx, bodies)
	w.used = w.clock.Now()
	return &wirepb.DoorUp{Fleet: w.fleet, Part: part}
}

// dropBody sends no more parts of a body.
func (w *linkWriter) dropBody(ctx context.Context, number uint64) {
	if len(w.bodies) > 0 {
		w.setBodies(ctx, slices.DeleteFunc(w.bodies, func(b outgoingBody) bool { return b.number == number }))
	}
}

// setBodies replaces the bodies that are being sent.
func (w *linkWriter) setBodies(ctx context.Context, bodies []outgoingBody) {
	w.bodies = bodies
	w.bodiesLeft.Store(int64(len(bodies)))
	if len(bodies) > 0 {
		_ = w.partDue.Put(ctx, struct{}{})
	}
}

// pingIfDue returns a ping if one is due, or an error if the peer has timed out.
func (w *linkWriter) pingIfDue() (*wirepb.DoorUp, error) {
	now := w.clock.Now()
	heard := clock.Instant(w.lastReceived.Load())
	w.pinger.received(heard)
	if w.pinger.timedOut(now) {
		w.events.Record(event.ConnectionRetired, event.F("router", string(w.router)), event.F("address", w.address))
		return nil, context.DeadlineExceeded
	}
	calls, links := w.inFlight.Load() > 0, w.links.Load()
	due := now.Sub(heard) >= pingInterval && w.pinger.due(now, calls, links)
	w.ping.Reset(max(minPingDelay, w.pinger.nextAt(calls, links).Sub(now)))
	if !due {
		return nil, nil
	}
	return &wirepb.DoorUp{Fleet: w.fleet, Ping: uint64(now)}, nil
}

// idle reports whether the link has not been used for idleTimeout and no call on it is in flight.
func (w *linkWriter) idle() bool {
	return w.clock.Now().Sub(w.used) > idleTimeout && w.inFlight.Load() == 0
}
