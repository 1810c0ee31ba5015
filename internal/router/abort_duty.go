package router

import (
	"context"

	"endivespring/internal/executor"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// abortDuty sends cancellations of runs to the upstream. canceller is nil if the
// upstream has no cancellation endpoint.
type abortDuty struct {
	canceller *upstream.Canceller
	aborts    *ring.Ring[executor.Abort]
}

// Run sends cancellations until the context ends.
func (d *abortDuty) Run(ctx context.Context) error {
	for {
		abort, err := d.aborts.Take(ctx)
		if err != nil {
			return nil
		}
		if d.canceller == nil {
			continue // closing the run's connection cancels it
		}
		d.canceller.Cancel(abort.Upstream.Address, abort.RequestID)
	}
}
