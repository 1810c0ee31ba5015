package router

import (
	"context"

	"endivespring/internal/executor"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// senderDuty makes the blocking calls to the upstream, one at a time, over one
// connection. As many run as the upstream has slots at most.
type senderDuty struct {
	sender   *upstream.Sender
	runs     *ring.Ring[outboundRun]
	outcomes *ring.Ring[executor.Outcome]
}

// Run sends until the context ends.
func (d *senderDuty) Run(ctx context.Context) error {
	defer d.sender.Close()
	for {
		out, err := d.runs.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.outcomes.Put(ctx, d.sender.Run(out.ctx, &out.run)); err != nil {
			return nil
		}
	}
}
