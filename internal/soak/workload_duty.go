package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"endivespring/internal/ring"
)

// workloadDuty generates requests at most at the rate of the plan. Operations, keys
// and first routers are drawn from the seed.
type workloadDuty struct {
	plan     *Plan
	routers  []string
	requests *ring.Ring[request]
	done     ring.Reply[struct{}]
}

// Run generates requests for the length of the plan. It waits while all callers are
// busy and the ring is full; requests that were due meanwhile are left out.
func (d *workloadDuty) Run(ctx context.Context) error {
	random := rand.New(rand.NewPCG(uint64(d.plan.Seed), 1))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / d.plan.Rate))
	defer ticker.Stop()
	end := time.NewTimer(d.plan.Length.Value())
	defer end.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-end.C:
			d.done.Send(struct{}{})
			return nil
		case <-ticker.C:
		}
		next := request{id: "soak-" + strconv.Itoa(i), service: serviceOf(i), operation: lookup, firstRouter: random.IntN(len(d.routers))}
		if random.IntN(2) == 0 {
			next.operation = reserve
		}
		if next.service == keyedService {
			next.key = "lane-" + strconv.Itoa(random.IntN(keyCount))
		}
		if d.requests.Put(ctx, next) != nil {
			return nil
		}
	}
}
