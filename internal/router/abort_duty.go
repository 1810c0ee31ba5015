package router

import (
	"context"

	"endivespring/internal/executor"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// abortDuty tells the upstream which runs are no longer wanted.
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
			continue // the end of the run's connection tells the upstream
		}
		d.canceller.Cancel(abort.Upstream.Address, abort.RequestID)
	}
}
