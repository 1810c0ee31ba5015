package router

import (
	"context"

	"endivespring/internal/executor"
	"endivespring/internal/metrics"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// rangeDuty sends requests about key ranges to the upstream, one at a time, and blocks
// until each outcome. Grants and releases have duties and rings of their own, so that a
// release that waits for work in progress delays no renewal.
type rangeDuty struct {
	client    *upstream.RangeClient
	meter     *metrics.RangeMeter
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
		response := d.client.Do(ctx, &request)
		d.meter.Observe(request.Kind.String(), response.Result.String())
		if err := d.responses.Put(ctx, response); err != nil {
			return nil
		}
	}
}
