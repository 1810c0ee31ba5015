package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"endivespring/internal/duty"
	"endivespring/internal/ring"
)

const (
	highestLatency = int64(2 * time.Minute / time.Microsecond) // microseconds
	precision      = 3                                         // significant digits of the histogram
)

// Run sends the load and returns what came back.
func Run(ctx context.Context, s Settings) (*Report, error) {
	group := duty.NewGroup(ctx)
	total := int(s.Rate * s.Duration.Seconds())
	shots := ring.New[shot]("shots", max(1, total), ring.Wait)
	hits := ring.New[hit]("hits", s.Workers, ring.Wait)
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxConnsPerHost: s.Workers,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	for range s.Workers {
		group.Go("worker", (&workerDuty{settings: &s, client: client, shots: shots, hits: hits}).Run)
	}
	group.Go("pacer", func(ctx context.Context) error { return pace(ctx, &s, total, shots) })
	report, err := collect(group.Context(), &s, total, hits)
	group.Stop()
	_ = group.Wait()
	return report, err
}

// pace puts each request on the ring when it is due, never waiting for answers.
func pace(ctx context.Context, s *Settings, total int, shots *ring.Ring[shot]) error {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	start := time.Now()
	run := strconv.FormatInt(start.UnixNano(), 36)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range total {
		due := start.Add(time.Duration(float64(i) / s.Rate * float64(time.Second)))
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		next := shot{due: due, address: s.Addresses[i%len(s.Addresses)], id: run + "-" + strconv.Itoa(i)}
		if s.Keys > 0 {
			next.key = "key-" + strconv.Itoa(random.IntN(s.Keys))
		}
		if err := shots.Put(ctx, next); err != nil {
			return nil
		}
	}
	return nil
}

func collect(ctx context.Context, s *Settings, total int, hits *ring.Ring[hit]) (*Report, error) {
	histogram := hdrhistogram.New(1, highestLatency, precision)
	report := &Report{
		Service: s.Service, Operation: s.Operation, Seed: s.Seed, Rate: s.Rate,
		Verdicts: map[string]int{}, Reasons: map[string]int{},
	}
	start := time.Now()
	for range total {
		h, err := hits.Take(ctx)
		if err != nil {
			return nil, err
		}
		report.Sent++
		report.Verdicts[h.verdict]++
		if h.reason != "" {
			report.Reasons[h.reason]++
		}
		if h.mismatched {
			report.Mismatched++
		}
		_ = histogram.RecordValue(min(highestLatency, max(1, h.latency.Microseconds())))
	}
	report.Seconds = time.Since(start).Seconds()
	quantile := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
	report.P50, report.P99, report.P999, report.Max = quantile(50), quantile(99), quantile(99.9), float64(histogram.Max())/1000
	return report, nil
}
