package admission

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

const (
	minArmTime = 600 * time.Millisecond
	maxArmTime = 2 * time.Second
	armRuns    = 12   // fewest runs in an arm; with fewer, the arm goes on
	armWait    = 4    // multiple of the arm time after which an arm without armRuns ends the trial
	fullShare  = 0.7  // share of the runs that must start near the limit if it bounds them
	nearLimit  = 0.75 // concurrency near the limit, as a share of it
)

// trial compares the throughput under two limits, in pairs of arms: first the
// lower limit, then the higher one. It compares the work completed, not run
// times, and discards the first third of each arm, in which runs end that
// started under the other limit.
type trial struct {
	low, high int
	// upper is set in the arm of the higher limit.
	upper   bool
	armTime time.Duration
	began   clock.Instant
	// work is the sum of the usual times of the runs that ended, runs their
	// number, and near the number of them that started near the limit.
	work float64
	runs int
	near int
	// lowRate is the throughput in the arm of the lower limit of this pair.
	lowRate float64
	pairs   int
	// logSum is the sum of the logarithms of the ratios of the throughput under
	// the lower limit to that under the higher limit.
	logSum float64
	// unlimited is the number of pairs in which the demand did not reach the higher
	// limit, and idle of those in which it did not reach the lower one either.
	unlimited int
	idle      int
	// lowReached is set if the demand reached the lower limit in this pair.
	lowReached bool
}

func newTrial(now clock.Instant, low, high int, runTime time.Duration) trial {
	return trial{low: low, high: high, began: now, armTime: min(maxArmTime, max(minArmTime, 2*runTime))}
}

func isNear(concurrency, limit int) bool { return float64(concurrency) >= nearLimit*float64(limit) }

func (t *trial) limit() int {
	if t.upper {
		return t.high
	}
	return t.low
}

// observe takes the end of a run and reports whether it completed a pair.
func (t *trial) observe(now clock.Instant, concurrency int, work float64) (pair bool) {
	elapsed := now.Sub(t.began)
	if elapsed < t.armTime/3 {
		return false
	}
	t.work += work
	t.runs++
	if isNear(concurrency, t.limit()) {
		t.near++
	}
	if elapsed < t.armTime || t.runs < armRuns {
		return false
	}
	rate := t.work / (elapsed - t.armTime/3).Seconds()
	full := float64(t.near) >= fullShare*float64(t.runs)
	pair = t.upper
	if pair {
		ratio := math.Log(t.lowRate / rate)
		t.pairs++
		t.logSum += ratio
		if !full {
			t.unlimited++
		}
		if !full && !t.lowReached {
			t.idle++
		}
	} else {
		t.lowRate, t.lowReached = rate, full
	}
	t.upper = !t.upper
	t.began, t.work, t.runs, t.near = now, 0, 0, 0
	return pair
}

// stalled reports whether too few runs end for a comparison.
func (t *trial) stalled(now clock.Instant) bool { return now.Sub(t.began) > armWait*t.armTime }
