package router

import (
	"context"

	"endivespring/internal/door"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// senderDuty makes the blocking calls to the upstream, one at a time. As many
// run as the upstream has slots at most.
type senderDuty struct {
	client   *upstream.Client
	runs     *ring.Ring[door.Run]
	outcomes *ring.Ring[door.Outcome]
}

// Run sends until the context ends.
func (d *senderDuty) Run(ctx context.Context) error {
	for {
		run, err := d.runs.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.outcomes.Put(ctx, d.client.Run(&run)); err != nil {
			return nil
		}
	}
}
