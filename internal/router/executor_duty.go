package router

import (
	"context"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/metrics"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/upstream"
	"endivespring/internal/verdict"
)

const (
	releaseRetry    = 10 * time.Millisecond // delay before releases refused by a full ring are queued again
	submissionBatch = 256                   // submissions taken before runs are sent
	// operationInterval is the time between two updates of the metrics of operations.
	operationInterval = time.Second
)

// executorDuty owns the executor core and the answer sinks of the links that calls
// arrive on.
type executorDuty struct {
	core          *executor.Core
	clock         clock.Clock
	events        event.Recorder
	submissions   *ring.Ring[*submission]
	outcomes      *ring.Ring[executor.Outcome]
	updates       *ring.Ring[session.Update]
	notifications *ring.Ring[upstream.Notification]
	nestedCalls   *ring.Ring[call.NestedCall]
	waits         *ring.Ring[call.ServiceWait]
	stop          *ring.Ring[stopStep]
	runs          *ring.Ring[outboundRun]
	delegations   *ring.Ring[executor.Delegation]
	aborts        *ring.Ring[executor.Abort]
	releases      *ring.Ring[[]fsm.ShardRelease]
	rangeUpdates  *ring.Ring[rangeUpdate]
	ranges        rangeRings
	registrations *ring.Ring[registration]
	// contactTimeout is the time without an announcement or heartbeat after which
	// the upstream is lost.
	contactTimeout time.Duration
	// drained is signalled while stopping, once no shard is held and no call is
	// queued or running.
	drained *ring.Ring[struct{}]

	meter *metrics.ExecutorMeter
	// operationsAt is when the metrics of operations were last set.
	operationsAt clock.Instant
	// reporter is nil unless load reports are sent.
	reporter    *loadReporter
	startSender func()

	senders int
	// cancels are the cancel functions of the contexts of runs in flight, by run ID.
	// pendingReleases are not yet queued for the session duty.
	cancels         map[uint64]context.CancelFunc
	pendingReleases []fsm.ShardRelease
	sinks           map[uint64]answerSink
	upstream        fleet.Upstream
	// lastHeartbeat is the newest heartbeat of an upstream that sends them.
	lastHeartbeat *upstream.Heartbeat
	// awaiting is the heartbeat whose answer awaits the registration of its upstream up to
	// awaitingUntil, or nil.
	awaiting      *upstream.Heartbeat
	awaitingUntil clock.Instant
	departures    departures
	// leaving is the departure whose acknowledgement awaits its registration, or nil.
	leaving *awaitedDeparture
	// early is the newest heartbeat that arrived before the first lease of a view, or nil.
	early *upstream.Notification
	// earlierBoot follows the heartbeats of a boot that is known to have a successor.
	earlierBoot earlierBoot
	// startMillis is when this process started, in milliseconds since the Unix epoch.
	startMillis int64
	lastContact clock.Instant
	leftAt      clock.Instant
	// upstreamGone is set while there is no upstream to send to: it has left, is
	// draining or was lost.
	upstreamGone bool
	// upstreamDeparted is set once the upstream has announced that it is draining or
	// leaving.
	upstreamDeparted bool
	// upstreamExited is set once the current boot of the upstream has announced its
	// departure or was found to have exited.
	upstreamExited bool
	stopping       bool
	stopSchedule   stopSchedule
	// shutdownStarted is set from the first step of a shutdown.
	shutdownStarted bool
}

// Run drives the core until the context ends.
func (d *executorDuty) Run(ctx context.Context) error {
	timer := time.NewTimer(d.contactTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.tick(ctx)
		case s := <-d.submissions.Out():
			d.submitAll(s)
		case outcome := <-d.outcomes.Out():
			d.complete(outcome)
		case update := <-d.updates.Out():
			d.update(&update)
			d.applyEarly(ctx)
			d.answerRegistered(d.clock.Now())
		case notification := <-d.notifications.Out():
			d.handleNotification(ctx, &notification)
		case response := <-d.ranges.responses.Out():
			d.completeRange(response)
		case nested := <-d.nestedCalls.Out():
			d.core.HandleNestedCall(nested)
		case wait := <-d.waits.Out():
			d.core.SetServiceWait(wait)
		case step := <-d.stop.Out():
			d.advanceStop(ctx, step)
		}
		d.dispatch(ctx)
		d.measure()
		now := d.clock.Now()
		d.reporter.report(ctx, now, d.load(now), d.sinks)
		timer.Reset(d.sleep())
	}
}

// measure sets the metrics of the load. Those of operations are set at most once per
// operationInterval, since there is a text for each.
func (d *executorDuty) measure() {
	d.meter.Set(d.core.Load())
	d.meter.SetLearned(d.core.LearnedLimit())
	now := d.clock.Now()
	if now < d.operationsAt.Add(operationInterval) {
		return
	}
	d.operationsAt = now
	for _, o := range d.core.OperationLoads() {
		d.meter.SetOperation(o.Operation, o.Nested, o.Queued, o.Asked, o.Given)
	}
	d.meter.ZeroVanished()
}

// load returns the load as of now. Reports and the time of the next one are derived from the
// same slowdown, which decays without a step of the core.
func (d *executorDuty) load(now clock.Instant) call.Load {
	load := d.core.Load()
	load.Slowdown = d.core.SlowdownAt(now)
	return load
}

// sleep returns the time until the next deadline of the duty or its core.
func (d *executorDuty) sleep() time.Duration {
	deadline := d.core.Deadline()
	if d.upstream.Name != "" && !d.upstreamGone {
		deadline = min(deadline, d.lastContact.Add(d.contactTimeout))
	}
	if d.awaiting != nil {
		deadline = min(deadline, d.awaitingUntil)
	}
	if d.leaving != nil {
		deadline = min(deadline, d.leaving.until)
	}
	now := d.clock.Now()
	if d.reporter != nil {
		load := d.load(now)
		deadline = min(deadline, d.reporter.next(now, &load))
	}
	if d.stopping && d.core.Held(now) > 0 {
		deadline = min(deadline, d.core.OwnershipExpiry())
	}
	if len(d.pendingReleases) > 0 {
		deadline = min(deadline, now.Add(releaseRetry))
	}
	if deadline == clock.Never {
		return time.Hour
	}
	return max(time.Millisecond, deadline.Sub(now))
}

func (d *executorDuty) tick(ctx context.Context) {
	now := d.clock.Now()
	d.core.Tick(now)
	d.answerRegistered(now)
	if d.upstream.Name != "" && !d.upstreamGone && now.Sub(d.lastContact) >= d.contactTimeout {
		d.events.Record(event.UpstreamLost, event.F("upstream", d.upstream.Name))
		d.withdrawUpstream(ctx)
	}
}

// advanceStop performs a step of the shutdown. An upstream that holds ranges of keys
// keeps them, and continues to receive calls, until stopFinish.
func (d *executorDuty) advanceStop(ctx context.Context, step stopStep) {
	queued, running, delegated := d.core.Open()
	d.events.Record(event.StopProgressed, event.F("duty", "executor"), event.F("step", step.String()),
		event.F("queued", queued), event.F("running", running), event.F("delegated", delegated), event.F("links", len(d.sinks)-1))
	switch now := d.clock.Now(); step {
	case stopBegin:
		d.core.StopBy(now, now.Add(d.stopSchedule.runs))
	case stopRetire, stopFinish:
		d.retire(ctx, step == stopFinish)
	case stopWaiting:
		d.core.RefuseQueued()
	case stopRuns:
		d.core.AbortRuns()
	case stopLinks:
		for _, sink := range d.sinks {
			sink.finish(ctx)
		}
	}
}

func (d *executorDuty) retire(ctx context.Context, finish bool) {
	holdsRanges := d.core.HoldsRanges()
	d.shutdownStarted = true
	d.stopping = finish
	if !holdsRanges {
		d.withdrawUpstream(ctx)
	}
	if !d.stopping {
		return
	}
	if holdsRanges {
		d.core.Stop()
	}
	for _, sink := range d.sinks {
		sink.retire(ctx)
	}
}

func (d *executorDuty) withdrawUpstream(ctx context.Context) {
	d.upstreamGone = true
	d.core.Leave(d.clock.Now())
	_ = d.registrations.Put(ctx, registration{upstream: d.upstream, leaving: true, departed: d.upstreamDeparted})
}

// submitAll takes a submission and those that wait behind it, up to submissionBatch: a call
// and its cancellation may have arrived together, and then the call must not be sent.
func (d *executorDuty) submitAll(s *submission) {
	d.submit(s)
	for range submissionBatch {
		if d.submissions.Depth() == 0 {
			return
		}
		d.submit(<-d.submissions.Out())
	}
}

func (d *executorDuty) submit(s *submission) {
	switch {
	case s.outcome != nil:
		d.complete(*s.outcome)
	case s.open != nil:
		d.sinks[s.link] = s.open
		if d.stopping {
			s.open.retire(context.Background())
		}
	case s.closed:
		delete(d.sinks, s.link)
		d.reporter.closed(s.link)
		d.core.CancelLink(d.clock.Now(), s.link)
	case s.cancel != 0:
		d.core.Cancel(d.clock.Now(), executor.Ticket{Link: s.link, Number: s.cancel})
	case s.withdraw != 0:
		d.core.Withdraw(d.clock.Now(), executor.Ticket{Link: s.link, Number: s.withdraw})
	default:
		ticket := executor.Ticket{Link: s.link, Number: s.call.Number}
		d.reporter.called(d.clock.Now(), s.link)
		d.core.Submit(d.clock.Now(), ticket, s.call)
	}
}

func (d *executorDuty) update(update *session.Update) {
	now := d.clock.Now()
	if update.Change != nil && !d.core.SetView(now, update.Change) {
		recordSkippedView(d.events, d.core.ViewVersion(), update.Change)
	}
	d.core.SetLease(now, update.Session, update.OwnershipUntil, update.ViewUntil)
	d.core.SetRangeLease(update.RangeLeaseUntil)
	d.departures.record(d.core.LastDeparture())
}

func (d *executorDuty) handleNotification(ctx context.Context, notification *upstream.Notification) {
	if !notification.Leaving && !d.core.Expects(notification.Upstream) {
		d.ignoreUnexpected(notification)
		return
	}
	if notification.Heartbeat != nil {
		d.handleHeartbeat(ctx, notification)
		return
	}
	if notification.Leaving {
		d.handleDeparture(ctx, notification)
		return
	}
	now := d.clock.Now()
	if d.stopping || d.sentBeforeLeave(now, notification) {
		return
	}
	if d.upstream != notification.Upstream || d.upstreamGone {
		d.events.Record(event.UpstreamAnnounced, event.F("upstream", notification.Upstream.Name),
			event.F("service", notification.Upstream.Service), event.F("boot", notification.Upstream.Boot))
	}
	d.registerUpstream(ctx, now, notification.Upstream)
}

// registerUpstream makes u the current upstream: it starts senders up to its number
// of slots and registers it with the control processes.
func (d *executorDuty) registerUpstream(ctx context.Context, now clock.Instant, u fleet.Upstream) {
	d.upstream, d.lastContact, d.upstreamGone, d.upstreamDeparted = u, now, false, false
	for ; d.senders < u.Slots; d.senders++ {
		d.startSender()
	}
	d.core.Announce(now, u)
	_ = d.registrations.Put(ctx, registration{upstream: u})
}

// sentBeforeLeave reports whether an announcement may have been sent before the
// upstream left: it is from the same boot and arrived within contactTimeout of
// the departure.
func (d *executorDuty) sentBeforeLeave(now clock.Instant, notification *upstream.Notification) bool {
	return d.upstreamGone && notification.Upstream.Boot == d.upstream.Boot && d.leftAt != 0 && now.Sub(d.leftAt) < d.contactTimeout
}

// complete passes the outcome of a run to the core and releases the run's context.
func (d *executorDuty) complete(outcome executor.Outcome) {
	if cancel := d.cancels[outcome.Run]; cancel != nil {
		cancel()
		delete(d.cancels, outcome.Run)
	}
	d.core.Complete(d.clock.Now(), outcome)
	if outcome.Answer.Reason == verdict.ReasonUpstreamGone {
		d.connectionRefused()
	}
}
