package admission

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

// concurrencyClass is what is known of the runs that started at about the same
// concurrency.
type concurrencyClass struct {
	// runs is the number of runs, which decays with classHalfLife.
	runs float64
	// concurrency is the mean concurrency, log the mean logarithm of the
	// normalized run time.
	concurrency float64
	log         float64
	updated     clock.Instant
}

func (c *concurrencyClass) weight(now clock.Instant) float64 {
	return c.runs * math.Exp2(-float64(now.Sub(c.updated))/float64(classHalfLife))
}

func (c *concurrencyClass) add(now clock.Instant, concurrency int, log float64) {
	c.runs = min(c.weight(now)+1, classRuns)
	c.updated = now
	c.concurrency += (float64(concurrency) - c.concurrency) / c.runs
	c.log += (log - c.log) / c.runs
}

// throughput returns the logarithm of the relative throughput at this
// concurrency, one standard error below its estimate.
func (c *concurrencyClass) throughput(now clock.Instant) float64 {
	return math.Log(c.concurrency) - c.log - logDeviation/math.Sqrt(c.weight(now))
}

const (
	classHalfLife = time.Minute
	// classRuns bounds the weight of a class, so that a change shows after about as
	// many runs.
	classRuns = 100
	// logDeviation is the standard deviation of the logarithm of a normalized run
	// time: 0.7 for a lognormal with a coefficient of variation of 0.8, and more
	// for its tail and for slow phases that the upstream does not state.
	logDeviation = 0.9
)
