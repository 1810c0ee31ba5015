package router

import (
	"context"

	"endivespring/internal/admission"
	"endivespring/internal/executor"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
	"endivespring/internal/verdict"
)

// senderDuty sends runs to the upstream, one at a time, over one connection, and
// blocks until each response. One sender duty is started for each slot that the
// upstream announces.
type senderDuty struct {
	sender   *upstream.Sender
	runs     *ring.Ring[outboundRun]
	outcomes *ring.Ring[executor.Outcome]
}

// Run sends queued runs until the context ends, then closes the connection.
func (d *senderDuty) Run(ctx context.Context) error {
	defer d.sender.Close()
	for {
		out, err := d.runs.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.outcomes.Put(ctx, d.send(&out)); err != nil {
			return nil
		}
	}
}

// send sends a run, unless it was cancelled while it was queued.
func (d *senderDuty) send(out *outboundRun) executor.Outcome {
	if out.ctx.Err() != nil {
		return upstream.NewOutcome(&out.run, verdict.NotRun, verdict.ReasonCancelled, admission.Neutral)
	}
	return d.sender.Run(out.ctx, &out.run)
}
