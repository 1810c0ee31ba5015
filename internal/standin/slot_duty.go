package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"endivespring/internal/ring"
)

// slotDuty runs one job at a time.
type slotDuty struct {
	name    string
	latency time.Duration
	jobs    *ring.Ring[*job]
	ledger  *ring.Ring[LedgerLine]
}

// Run takes jobs until the context ends.
func (d *slotDuty) Run(ctx context.Context) error {
	for {
		j, err := d.jobs.Take(ctx)
		if err != nil {
			return nil
		}
		j.reply.Send(d.execute(ctx, j))
	}
}

func (d *slotDuty) execute(ctx context.Context, j *job) result {
	if time.Now().After(j.deadline) {
		return result{status: http.StatusServiceUnavailable}
	}
	j.line.Upstream = d.name
	j.line.At = time.Now().UnixNano()
	if d.ledger.Put(ctx, j.line) != nil {
		return result{status: http.StatusServiceUnavailable}
	}
	pause(ctx, d.latency)
	body, err := json.Marshal(Answer{RequestID: j.line.RequestID, Key: j.line.Key, Upstream: d.name, Echo: string(j.body)})
	if err != nil {
		return result{status: http.StatusInternalServerError, ran: true}
	}
	return result{status: http.StatusOK, ran: true, body: body}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
