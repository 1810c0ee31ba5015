package router

import (
	"context"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/executor"
	"endivespring/internal/verdict"
)

// dispatch carries out what the core asks for until it asks for nothing more.
func (d *executorDuty) dispatch(ctx context.Context) {
	for again := true; again; {
		out := d.core.Take()
		again = d.start(ctx, &out)
		d.tell(ctx, &out)
	}
	d.sendReleases(ctx)
	if d.stopping && d.core.Idle() && d.core.Held(d.clock.Now()) == 0 {
		d.core.Stop()
		_ = d.drained.Put(ctx, struct{}{})
	}
}

// start hands runs to the senders and to other doors. It reports whether some
// were refused, which the core has been told.
func (d *executorDuty) start(ctx context.Context, out *executor.Output) (refused bool) {
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

// tell passes on cancellations, answers, releases and decisions.
func (d *executorDuty) tell(ctx context.Context, out *executor.Output) {
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
	d.unsent = append(d.unsent, out.Releases...)
	d.sendRanges(ctx, out)
	for _, decision := range out.Decisions {
		d.events.Record(decision.Event, decision.Fields...)
	}
}

// sendReleases hands releases to the session; a full ring is tried again.
func (d *executorDuty) sendReleases(ctx context.Context) {
	if len(d.unsent) > 0 && d.releases.Put(ctx, d.unsent) == nil {
		d.unsent = nil
	}
}
