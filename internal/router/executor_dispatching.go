package router

import (
	"context"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/executor"
	"endivespring/internal/verdict"
)

// dispatch executes the output of the core until no run is refused, since refused
// runs cause further output. When stopping, it signals the end of the drain.
func (d *executorDuty) dispatch(ctx context.Context) {
	for again := true; again; {
		out := d.core.Take()
		again = d.startRuns(ctx, &out)
		again = d.sendRangeRequests(ctx, out.RangeRequests) || again
		d.emit(ctx, &out)
	}
	d.sendReleases(ctx)
	if d.stopping && d.core.Idle() && d.core.Held(d.clock.Now()) == 0 {
		d.core.Stop()
		_ = d.drained.Put(ctx, struct{}{})
	}
}

// startRuns queues runs for the senders, and delegated runs for the gateway duty. It
// reports whether a full ring refused some; those are completed as not run.
func (d *executorDuty) startRuns(ctx context.Context, out *executor.Output) (refused bool) {
	for _, run := range out.Runs {
		runCtx, cancel := context.WithCancel(ctx)
		d.cancels[run.ID] = cancel
		if d.runs.Put(ctx, outboundRun{ctx: runCtx, run: run}) != nil {
			refused = true
			d.complete(executor.Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, verdict.NotRun, verdict.ReasonOverloaded), Health: admission.Neutral})
		}
	}
	for _, delegation := range out.Delegations {
		if d.delegations.Put(ctx, delegation) != nil {
			refused = true
			d.complete(executor.Outcome{Run: delegation.Run, Answer: call.Refusal(&delegation.Call, verdict.NotRun, verdict.ReasonOverloaded), Health: admission.Neutral})
		}
	}
	return refused
}

// emit queues cancellations, answers, releases and range reports, and logs
// events.
func (d *executorDuty) emit(ctx context.Context, out *executor.Output) {
	for _, abort := range out.Aborts {
		_ = d.aborts.Put(ctx, abort)
		if cancel := d.cancels[abort.Run]; cancel != nil {
			cancel()
		}
	}
	for _, reply := range out.Replies {
		if sink := d.sinks[reply.Ticket.Link]; sink != nil && !sink.answer(ctx, reply.Answer) {
			delete(d.sinks, reply.Ticket.Link)
		}
	}
	d.pendingReleases = append(d.pendingReleases, out.Releases...)
	d.sendRanges(ctx, out)
	for _, cause := range out.Refusals {
		d.meter.Refused(string(cause))
	}
	for _, e := range out.Events {
		d.events.Record(e.Event, e.Fields...)
	}
}

// sendReleases queues releases for the session duty. If the ring is full, it is
// retried after releaseRetry.
func (d *executorDuty) sendReleases(ctx context.Context) {
	if len(d.pendingReleases) > 0 && d.releases.Put(ctx, d.pendingReleases) == nil {
		d.pendingReleases = nil
	}
}
