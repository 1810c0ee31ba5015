package router

import (
	"context"
	"time"

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

const releaseRetry = 10 * time.Millisecond // wait before releases are handed over again

// executorDuty owns the door core and the links that calls come on.
type executorDuty struct {
	core        *executor.Core
	clock       clock.Clock
	events      event.Recorder
	submissions *ring.Ring[*submission]
	outcomes    *ring.Ring[executor.Outcome]
	updates     *ring.Ring[session.Update]
	notices     *ring.Ring[upstream.Notice]
	stop        *ring.Ring[executorStop]
	runs        *ring.Ring[outboundRun]
	delegations *ring.Ring[executor.Delegation]
	aborts      *ring.Ring[executor.Abort]
	releases    *ring.Ring[[]fsm.Release]
	ranges      *ring.Ring[rangeNews]
	registered  *ring.Ring[registration]
	// lostAfter is how long an upstream may stay silent.
	lostAfter time.Duration
	// drained is signalled while stopping, once nothing is owned, queued or
	// running.
	drained *ring.Ring[struct{}]

	meter *metrics.ExecutorMeter
	// startSender starts one more sender duty.
	startSender func()

	senders int
	// cancels end the wait for runs under way; releases not yet handed to the
	// session are in unsent.
	cancels  map[uint64]context.CancelFunc
	unsent   []fsm.Release
	sinks    map[uint64]answerSink
	upstream fleet.Upstream
	// beat is the newest heartbeat of an upstream that counts them.
	beat    *upstream.Beat
	heardAt clock.Instant
	leftAt  clock.Instant
	gone    bool
	// ended is set once the present start of the upstream said that it is gone.
	ended    bool
	stopping bool
	// retiring is set once the process is going to stop.
	retiring bool
}

// Run steps the core until the context ends.
func (d *executorDuty) Run(ctx context.Context) error {
	timer := time.NewTimer(d.lostAfter)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.tick(ctx)
		case s := <-d.submissions.Out():
			d.submit(s)
		case outcome := <-d.outcomes.Out():
			d.complete(outcome)
		case update := <-d.updates.Out():
			d.update(&update)
		case notice := <-d.notices.Out():
			d.notice(ctx, &notice)
		case step := <-d.stop.Out():
			d.stopAt(ctx, step)
		}
		d.dispatch(ctx)
		d.meter.Set(d.core.Load())
		timer.Reset(d.sleep())
	}
}

// sleep returns how long the duty may wait.
func (d *executorDuty) sleep() time.Duration {
	deadline := d.core.Deadline()
	if d.upstream.Name != "" && !d.gone {
		deadline = min(deadline, d.heardAt.Add(d.lostAfter))
	}
	now := d.clock.Now()
	if d.stopping && d.core.Held(now) > 0 {
		deadline = min(deadline, d.core.OwnUntil())
	}
	if len(d.unsent) > 0 {
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
	if d.upstream.Name != "" && !d.gone && now.Sub(d.heardAt) >= d.lostAfter {
		d.events.Record(event.UpstreamLost, event.F("upstream", d.upstream.Name))
		d.leave(ctx)
	}
}

// stopAt takes a step towards the end of the process. An upstream that holds
// ranges of keys on its own keeps them, and its calls, until the last step.
func (d *executorDuty) stopAt(ctx context.Context, step executorStop) {
	keeps := d.core.HoldsRanges()
	d.retiring = true
	d.stopping = step == stopFinish
	if !keeps {
		d.leave(ctx)
	}
	if d.stopping && keeps {
		d.core.Stop()
	}
}

func (d *executorDuty) leave(ctx context.Context) {
	d.gone = true
	d.core.Leave(d.clock.Now())
	_ = d.registered.Put(ctx, registration{upstream: d.upstream, leaving: true})
}

func (d *executorDuty) submit(s *submission) {
	switch {
	case s.outcome != nil:
		d.complete(*s.outcome)
	case s.open != nil:
		d.sinks[s.link] = s.open
	case s.closed:
		delete(d.sinks, s.link)
		d.core.CancelLink(d.clock.Now(), s.link)
	case s.cancel != 0:
		d.core.Cancel(d.clock.Now(), executor.Ticket{Link: s.link, Number: s.cancel})
	default:
		d.core.Submit(d.clock.Now(), executor.Ticket{Link: s.link, Number: s.call.Number}, s.call)
	}
}

func (d *executorDuty) update(update *session.Update) {
	now := d.clock.Now()
	if update.Change != nil {
		d.core.SetView(now, update.Change)
	}
	d.core.SetLease(now, update.Session, update.OwnUntil, update.ViewUntil)
	d.core.SetRangeLease(update.RangesUntil)
}

func (d *executorDuty) notice(ctx context.Context, notice *upstream.Notice) {
	if notice.Beat != nil {
		d.heartbeat(ctx, notice)
		return
	}
	if notice.Leaving && notice.Name != "" && notice.Name != d.upstream.Name {
		return
	}
	if notice.Leaving {
		d.events.Record(event.UpstreamLeft, event.F("upstream", d.upstream.Name))
		d.leftAt, d.ended = d.clock.Now(), true
		d.leave(ctx)
		return
	}
	now := d.clock.Now()
	if d.stopping || d.farewell(now, notice) {
		return
	}
	if d.upstream != notice.Upstream || d.gone {
		d.events.Record(event.UpstreamAnnounced, event.F("upstream", notice.Upstream.Name),
			event.F("service", notice.Upstream.Service), event.F("boot", notice.Upstream.Boot))
	}
	d.adopt(ctx, now, notice.Upstream)
}

// adopt takes an upstream as the one beside the door.
func (d *executorDuty) adopt(ctx context.Context, now clock.Instant, u fleet.Upstream) {
	d.upstream, d.heardAt, d.gone = u, now, false
	for ; d.senders < u.Slots; d.senders++ {
		d.startSender()
	}
	d.core.Announce(now, u)
	_ = d.registered.Put(ctx, registration{upstream: u})
}

// farewell reports whether an announcement may have been sent before the
// upstream said that it leaves: the same start of it, a short time ago.
func (d *executorDuty) farewell(now clock.Instant, notice *upstream.Notice) bool {
	return d.gone && notice.Upstream.Boot == d.upstream.Boot && d.leftAt != 0 && now.Sub(d.leftAt) < d.lostAfter
}

// complete ends a run and the wait for it.
func (d *executorDuty) complete(outcome executor.Outcome) {
	if cancel := d.cancels[outcome.Run]; cancel != nil {
		cancel()
		delete(d.cancels, outcome.Run)
	}
	d.core.Complete(d.clock.Now(), outcome)
	if outcome.Answer.Reason == verdict.ReasonUpstreamGone {
		d.refused()
	}
}
