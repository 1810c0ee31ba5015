package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// slotDuty runs one job at a time and gives it back to the scheduler.
type slotDuty struct {
	name string
	jobs *ring.Ring[*job]
	done *ring.Ring[*job]
}

// Run takes jobs until the context ends.
func (d *slotDuty) Run(ctx context.Context) error {
	for {
		j, err := d.jobs.Take(ctx)
		if err != nil {
			return nil
		}
		d.execute(ctx, j)
		if d.done.Put(ctx, j) != nil {
			return nil
		}
	}
}

// execute works until the run's time is up, its deadline passes or it is
// cancelled.
func (d *slotDuty) execute(ctx context.Context, j *job) {
	left := time.Until(j.deadline)
	timer := time.NewTimer(min(j.runTime, left))
	defer timer.Stop()
	select {
	case <-timer.C:
		j.cancelled = j.runTime > left
	case <-j.cancel.Out():
		j.cancelled = true
	case <-ctx.Done():
		j.cancelled = true
	}
	j.result = result{requestID: j.line.RequestID, fault: j.fault, delay: j.delay}
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
