package router

import (
	"context"

	"endivespring/internal/executor"
	"endivespring/internal/ring"
)

const (
	grantSenders         = 2   // duties that send grants, so that one unanswered grant doesn't hold up the others
	releaseSenders       = 4   // duties that send releases
	rangeRequestCapacity = 256 // grants or releases queued for their duties
)

// rangeRings carry requests about key ranges to their duties, and the outcomes back.
// The duties are started with the first request.
type rangeRings struct {
	grants, releases *ring.Ring[executor.RangeRequest]
	responses        *ring.Ring[executor.RangeResponse]
	start            func()
	started          bool
}

func newRangeRings() rangeRings {
	return rangeRings{
		grants:    ring.New[executor.RangeRequest]("range-grants", rangeRequestCapacity, ring.Refuse),
		releases:  ring.New[executor.RangeRequest]("range-releases", rangeRequestCapacity, ring.Refuse),
		responses: ring.New[executor.RangeResponse]("range-responses", rangeRequestCapacity, ring.Wait),
	}
}

// sendRangeRequests queues requests about key ranges. It reports whether a full ring
// refused some; those are completed as not sent.
func (d *executorDuty) sendRangeRequests(ctx context.Context, requests []executor.RangeRequest) (refused bool) {
	if len(requests) > 0 && !d.ranges.started {
		d.ranges.started = true
		d.ranges.start()
	}
	for _, request := range requests {
		queue := d.ranges.grants
		if request.Kind == executor.ReleaseRange {
			queue = d.ranges.releases
		}
		if queue.Put(ctx, request) != nil {
			refused = true
			d.core.CompleteRangeRequest(d.clock.Now(), executor.RangeResponse{Number: request.Number, Result: executor.RangeNotSent})
		}
	}
	return refused
}

// completeRange passes the outcome of a range request to the core.
func (d *executorDuty) completeRange(response executor.RangeResponse) {
	d.core.CompleteRangeRequest(d.clock.Now(), response)
	if response.Gone {
		d.connectionRefused()
	}
}
