package router

import (
	"context"

	"endivespring/internal/executor"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// rangeDuty sends requests about key ranges to the upstream, one at a time, and blocks
// until each outcome. Grants and releases have duties and rings of their own, so that a
// release that waits for work in progress delays no renewal.
type rangeDuty struct {
	client    *upstream.RangeClient
	requests  *ring.Ring[executor.RangeRequest]
	responses *ring.Ring[executor.RangeResponse]
}

// Run sends queued requests until the context ends, then closes the connection.
func (d *rangeDuty) Run(ctx context.Context) error {
	defer d.client.Close()
	for {
		request, err := d.requests.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.responses.Put(ctx, d.client.Do(ctx, &request)); err != nil {
			return nil
		}
	}
}
