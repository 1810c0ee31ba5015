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
	linkCapacity = 512 // calls queued for one link; above slots plus the default queue limit of 64 for usual upstreams; 4 KB
	// settledCapacity is the number of answered calls that the writer of a link may still have
	// to look at.
	settledCapacity = 16
	idleTimeout     = 30 * time.Second // time without calls after which a link closes; also limits the wait for the last answers of a retired link
)

// link sends calls to the executor of one router over one gRPC stream. It does not
// reconnect: after the stream has failed, the gateway opens a new link for the next
// call.
type link struct {
	fleet   string
	router  fleet.RouterID
	address string
	clock   clock.Clock
	calls   *ring.Ring[*outgoingCall]
	answers *ring.Ring[*inboundAnswer]
	events  event.Recorder
	// lastReceived is the clock.Instant of the last message from the other router.
	lastReceived atomic.Int64
	// links is the number of open links of this router.
	links *atomic.Int64
	// takesParts is set if the other router takes large bodies in parts.
	takesParts bool
	// takesReports is set if the gateway uses load reports.
	takesReports bool
	// retired is signalled once the other router asks for no more calls.
	retired *ring.Ring[struct{}]
	// settled holds the numbers of calls that were answered, whose bodies may still be being
	// sent.
	settled *ring.Ring[uint64]
	// bodiesLeft is the number of bodies that are being sent in parts.
	bodiesLeft atomic.Int64
	// firstNumber and lastNumber are the numbers of the first and the last call that the
	// gateway duty, which owns them, has queued on the link. firstNumber is 0 before the first.
	firstNumber, lastNumber uint64
	// inFlight is the number of calls sent and not yet answered or cancelled.
	inFlight atomic.Int64
}

func newLink(fleetName string, r fleet.Router, links *atomic.Int64, c clock.Clock, answers *ring.Ring[*inboundAnswer], events event.Recorder) *link {
	return &link{
		fleet: fleetName, router: r.ID, address: r.Address, links: links, clock: c, answers: answers, events: events,
		calls:   ring.New[*outgoingCall]("link-"+string(r.ID), linkCapacity, ring.Refuse),
		retired: ring.New[struct{}]("link-retired", 1, ring.DropOldest),
		settled: ring.New[uint64]("link-settled", settledCapacity, ring.DropOldest), takesParts: r.TakesParts,
	}
}

// Run opens the stream and sends calls until it fails or idles. Calls that are
// still queued then were never written and are reported as not run.
func (l *link) Run(ctx context.Context) error {
	_ = l.stream(ctx)
	l.reportQueued(ctx)
	_ = l.answers.Put(ctx, &inboundAnswer{from: l.router, ended: l})
	return nil
}

// reportQueued reports the calls that are still queued as not run.
func (l *link) reportQueued(ctx context.Context) {
	for out, ok := l.calls.Poll(); ok; out, ok = l.calls.Poll() {
		if out.isCall() {
			l.reportUnsent(ctx, out.call.Number)
		}
	}
}

// reportUnsent reports a call that was never written, or not with its whole body, as not run.
func (l *link) reportUnsent(ctx context.Context, number uint64) {
	lost := &inboundAnswer{from: l.router, lost: true, verdict: verdict.NotRun}
	lost.answer.Number = number
	_ = l.answers.Put(ctx, lost)
}

func (l *link) stream(outer context.Context) error {
	connection, err := peer.Dial(l.address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	opening := time.AfterFunc(peerTimeout, cancel)
	stream, err := wirepb.NewDoorsClient(connection).Link(peer.NameFleet(ctx, l.fleet))
	opening.Stop()
	if err != nil {
		return err
	}
	l.events.Record(event.PeerConnected, event.F("router", string(l.router)), event.F("address", l.address))
	go func() {
		defer cancel()
		l.receive(ctx, stream)
	}()
	writer := newLinkWriter(l, stream, cancel)
	err = writer.run(ctx)
	for _, body := range writer.bodies {
		l.reportUnsent(outer, body.number)
	}
	return err
}

// awaitEnd half-closes the stream, so that the other router knows that nothing more follows,
// and waits until it has ended the stream. Calls that are queued meanwhile are reported as not
// run by Run.
func (l *link) awaitEnd(ctx context.Context, stream grpc.BidiStreamingClient[wirepb.DoorUp, wirepb.DoorDown]) error {
	if err := stream.CloseSend(); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	<-limited.Done()
	return limited.Err()
}

// countCall records the number of a call that is queued on the link. Numbers increase.
func (l *link) countCall(number uint64) {
	if l.firstNumber == 0 {
		l.firstNumber = number
	}
	l.lastNumber = number
}

// carries reports whether a call was queued on the link.
func (l *link) carries(number uint64) bool {
	return l.firstNumber <= number && number <= l.lastNumber
}

// trackInFlight updates the number of calls in flight for a sent message. It reports
// whether this is the first of them.
func (l *link) trackInFlight(out *outgoingCall) (first bool) {
	if out.cancel {
		l.callEnded()
		return false
	}
	return l.inFlight.Add(1) == 1
}

// callEnded decrements the number of calls in flight. It does not go below zero: an
// answer and a cancellation may cross, so that one call ends twice.
func (l *link) callEnded() {
	if l.inFlight.Add(-1) < 0 {
		l.inFlight.Store(0)
	}
}

// receive queues answers for the gateway duty until the stream fails. An answer
// whose body does not match its checksum is reported as lost: the call may have
// run.
func (l *link) receive(ctx context.Context, stream grpc.BidiStreamingClient[wirepb.DoorUp, wirepb.DoorDown]) {
	for {
		down, err := stream.Recv()
		if err != nil {
			if peer.IsFleetRefused(err) {
				l.events.Record(event.RefusedByFleet, event.F("address", l.address), event.F("fleet", l.fleet))
			}
			return
		}
		l.lastReceived.Store(int64(l.clock.Now()))
		if down.GetClosing() {
			_ = l.retired.Put(ctx, struct{}{})
			continue
		}
		if down.GetLoad() != nil {
			l.passReport(ctx, down.GetLoad())
		}
		if down.GetAnswer() == nil {
			continue
		}
		l.callEnded()
		if l.bodiesLeft.Load() > 0 {
			_ = l.settled.Put(ctx, down.GetAnswer().GetNumber())
		}
		answer, valid := wire.ToAnswer(down.GetAnswer())
		in := &inboundAnswer{from: l.router, answer: answer}
		if !valid {
			in.lost, in.verdict = true, verdict.MayHaveRun
		}
		if l.answers.Put(ctx, in) != nil {
			return
		}
	}
}

// passReport queues a load report for the gateway duty, unless its ring is half full or
// it does not use reports.
func (l *link) passReport(ctx context.Context, message *wirepb.Load) {
	if !l.takesReports || l.answers.Depth() >= l.answers.Capacity()/2 {
		return
	}
	load := wire.ToLoad(message)
	_ = l.answers.Put(ctx, &inboundAnswer{from: l.router, load: &load})
}
