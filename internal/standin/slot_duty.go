package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// slotDuty simulates the execution of one job at a time and returns each job to the
// scheduler.
type slotDuty struct {
	name     string
	jobs     *ring.Ring[*job]
	finished *ring.Ring[*job]
}

// Run executes jobs until the context ends.
func (d *slotDuty) Run(ctx context.Context) error {
	for {
		j, err := d.jobs.Take(ctx)
		if err != nil {
			return nil
		}
		d.execute(ctx, j)
		if d.finished.Put(ctx, j) != nil {
			return nil
		}
	}
}

// execute waits for the job's run time, its deadline or a cancellation, whichever is
// first, and sets the result. A job that missed its deadline counts as cancelled.
func (d *slotDuty) execute(ctx context.Context, j *job) {
	remaining := time.Until(j.deadline)
	timer := time.NewTimer(min(j.runTime, remaining))
	defer timer.Stop()
	select {
	case <-timer.C:
		j.cancelled = j.runTime > remaining
	case <-j.cancel.Out():
		j.cancelled = true
	case <-ctx.Done():
		j.cancelled = true
	}
	j.result = result{requestID: j.line.RequestID, run: j.run, fault: j.fault, delay: j.delay}
	if j.cancelled {
		j.result.status, j.result.ran = http.StatusServiceUnavailable, upstream.RanUnknown
		return
	}
	body, err := json.Marshal(Answer{RequestID: j.line.RequestID, Key: j.line.Key, Upstream: d.name, Echo: string(j.body)})
	j.result.status, j.result.body = http.StatusOK, body
	if err != nil {
		j.result.status = http.StatusInternalServerError
	}
}
