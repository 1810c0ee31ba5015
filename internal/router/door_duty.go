package router

import (
	"context"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/door"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/metrics"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/upstream"
	"endivespring/internal/verdict"
)

// doorDuty owns the door core and the links that calls come on.
type doorDuty struct {
	core        *door.Core
	clock       clock.Clock
	events      event.Recorder
	submissions *ring.Ring[submission]
	outcomes    *ring.Ring[door.Outcome]
	updates     *ring.Ring[session.Update]
	notices     *ring.Ring[upstream.Notice]
	stop        *ring.Ring[struct{}]
	runs        *ring.Ring[door.Run]
	aborts      *ring.Ring[door.Abort]
	releases    *ring.Ring[[]control.Release]
	registered  *ring.Ring[registration]
	// lostAfter is how long an upstream may stay silent.
	lostAfter time.Duration
	// drained is signalled while stopping, once nothing is owned, queued or
	// running.
	drained *ring.Ring[struct{}]

	meter *metrics.DoorMeter
	// startSender starts one more sender duty.
	startSender func()

	senders  int
	sinks    map[uint64]answerSink
	upstream fleet.Upstream
	heardAt  clock.Instant
	gone     bool
	stopping bool
}

// Run steps the core until the context ends.
func (d *doorDuty) Run(ctx context.Context) error {
	timer := time.NewTimer(d.lostAfter)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.tick(ctx)
		case s := <-d.submissions.Out():
			d.submit(&s)
		case outcome := <-d.outcomes.Out():
			d.core.Complete(d.clock.Now(), outcome)
		case update := <-d.updates.Out():
			d.update(&update)
		case notice := <-d.notices.Out():
			d.notice(ctx, &notice)
		case <-d.stop.Out():
			d.stopping = true
			d.leave(ctx)
		}
		d.dispatch(ctx)
		d.meter.Set(d.core.Load())
		timer.Reset(d.sleep())
	}
}

func (d *doorDuty) sleep() time.Duration {
	now := d.clock.Now()
	deadline := d.core.Deadline(now)
	if d.upstream.Name != "" && !d.gone {
		deadline = min(deadline, d.heardAt.Add(d.lostAfter))
	}
	if deadline == clock.Never {
		return time.Hour
	}
	return max(time.Millisecond, deadline.Sub(now))
}

func (d *doorDuty) tick(ctx context.Context) {
	now := d.clock.Now()
	d.core.Tick(now)
	if d.upstream.Name != "" && !d.gone && now.Sub(d.heardAt) >= d.lostAfter {
		d.events.Record(event.UpstreamLost, event.F("upstream", d.upstream.Name))
		d.leave(ctx)
	}
}

func (d *doorDuty) leave(ctx context.Context) {
	d.gone = true
	d.core.Leave(d.clock.Now())
	_ = d.registered.Put(ctx, registration{upstream: d.upstream, leaving: true})
}

func (d *doorDuty) submit(s *submission) {
	switch {
	case s.open != nil:
		d.sinks[s.link] = s.open
	case s.closed:
		delete(d.sinks, s.link)
		d.core.CancelLink(d.clock.Now(), s.link)
	case s.cancel != 0:
		d.core.Cancel(d.clock.Now(), door.Ticket{Link: s.link, Number: s.cancel})
	default:
		d.core.Submit(d.clock.Now(), door.Ticket{Link: s.link, Number: s.call.Number}, s.call)
	}
}

func (d *doorDuty) update(update *session.Update) {
	now := d.clock.Now()
	if update.Change != nil {
		d.core.SetView(now, update.Change)
	}
	d.core.SetLease(now, update.Session, update.OwnUntil, update.ViewUntil)
}

func (d *doorDuty) notice(ctx context.Context, notice *upstream.Notice) {
	if notice.Leaving {
		d.events.Record(event.UpstreamLeft, event.F("upstream", d.upstream.Name))
		d.leave(ctx)
		return
	}
	now := d.clock.Now()
	if d.stopping {
		return
	}
	if d.upstream != notice.Upstream || d.gone {
		d.events.Record(event.UpstreamAnnounced, event.F("upstream", notice.Upstream.Name),
			event.F("service", notice.Upstream.Service), event.F("boot", notice.Upstream.Boot))
	}
	d.upstream, d.heardAt, d.gone = notice.Upstream, now, false
	for ; d.senders < notice.Upstream.Slots; d.senders++ {
		d.startSender()
	}
	d.core.Announce(now, notice.Upstream)
	_ = d.registered.Put(ctx, registration{upstream: notice.Upstream})
}

func (d *doorDuty) dispatch(ctx context.Context) {
	out := d.core.Take()
	for _, run := range out.Runs {
		if d.runs.Put(ctx, run) != nil {
			d.refuseRun(ctx, &run)
		}
	}
	for _, abort := range out.Aborts {
		_ = d.aborts.Put(ctx, abort)
	}
	for _, reply := range out.Replies {
		if sink := d.sinks[reply.Ticket.Link]; sink != nil && !sink.answer(ctx, reply.Answer) {
			delete(d.sinks, reply.Ticket.Link)
		}
	}
	if len(out.Releases) > 0 {
		_ = d.releases.Put(ctx, out.Releases)
	}
	for _, decision := range out.Decisions {
		d.events.Record(decision.Event, decision.Fields...)
	}
	if d.stopping && d.core.Idle() && d.core.Held() == 0 {
		d.core.Stop()
		_ = d.drained.Put(ctx, struct{}{})
	}
}

// refuseRun ends a run that could not be handed to a sender.
func (d *doorDuty) refuseRun(ctx context.Context, run *door.Run) {
	outcome := door.Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, verdict.NotRun, verdict.ReasonOverloaded)}
	_ = d.outcomes.Put(ctx, outcome)
}
