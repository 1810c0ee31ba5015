package executor

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

// loadTimeConstant is the time in which past work loses 63% of its weight. Bursts last 3 to
// 7 s: a shorter one would follow single calls of 590 ms, a longer one would not see a burst.
const loadTimeConstant = 2 * time.Second

// decayingRate is a moving average of work per time, that is, of the slots it occupies.
type decayingRate struct {
	sum time.Duration
	at  clock.Instant
}

// add counts work.
func (r *decayingRate) add(now clock.Instant, work time.Duration) {
	r.sum = r.remaining(now) + work
	r.at = now
}

// slots returns the average number of slots that the work occupies.
func (r *decayingRate) slots(now clock.Instant) float64 {
	return float64(r.remaining(now)) / float64(loadTimeConstant)
}

func (r *decayingRate) remaining(now clock.Instant) time.Duration {
	return time.Duration(float64(r.sum) * math.Exp(-float64(now.Sub(r.at))/float64(loadTimeConstant)))
}
