package loadgen

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/duty"
	"endivespring/internal/ring"
)

// Run sends the load and returns what came back.
func Run(ctx context.Context, s Settings) (*Report, error) {
	group := duty.NewGroup(ctx)
	total := int(s.Rate * s.Duration.Seconds())
	answers := total + s.resent(total)
	shots := ring.New[shot]("shots", max(1, answers), ring.Wait)
	hits := ring.New[hit]("hits", s.Workers, ring.Wait)
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxConnsPerHost: s.Workers,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	for range s.Workers {
		group.Go("worker", (&workerDuty{settings: &s, client: client, shots: shots, hits: hits}).Run)
	}
	start := time.Now()
	group.Go("pacer", newPacer(&s, start, total, shots).Run)
	report, err := collect(group.Context(), newRecorder(&s, start), answers, hits)
	group.Stop()
	_ = group.Wait()
	return report, err
}

func collect(ctx context.Context, r *recorder, answers int, hits *ring.Ring[hit]) (*Report, error) {
	for range answers {
		h, err := hits.Take(ctx)
		if err != nil {
			return nil, err
		}
		r.add(&h)
	}
	return r.finish(), nil
}
