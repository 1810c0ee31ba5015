package loadgen

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/duty"
	"endivespring/internal/httphead"
	"endivespring/internal/ring"
)

// Run sends the load and returns the report once every request was answered,
// failed or timed out. It returns an error if the context ends first.
func Run(ctx context.Context, s Settings) (*Report, error) {
	group := duty.NewGroup(ctx)
	total := int(s.Rate * s.Duration.Seconds())
	answers := total + s.resendCount(total)
	scheduled := ring.New[scheduledRequest]("shots", max(1, answers), ring.Wait)
	results := ring.New[result]("hits", s.Workers, ring.Wait)
	client := &fasthttp.Client{
		Transport: httphead.Transport{}, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: s.Workers,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	for range s.Workers {
		group.Go("worker", (&workerDuty{settings: &s, client: client, scheduled: scheduled, results: results}).Run)
	}
	start := time.Now()
	group.Go("pacer", newPacer(&s, start, total, scheduled).Run)
	report, err := collect(group.Context(), newRecorder(&s, start), answers, results)
	group.Stop()
	_ = group.Wait()
	return report, err
}

func collect(ctx context.Context, r *recorder, answers int, results *ring.Ring[result]) (*Report, error) {
	for range answers {
		answer, err := results.Take(ctx)
		if err != nil {
			return nil, err
		}
		r.add(&answer)
	}
	return r.finish(), nil
}
