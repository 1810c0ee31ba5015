package gateway

import (
	"math"
	"time"
)

const (
	quantileBuckets = 160                   // buckets, each a tenth wider than the one before
	quantileRatio   = 1.1                   // upper over lower end of a bucket
	quantileLeast   = 50 * time.Microsecond // upper end of the first bucket
	quantileWindow  = 2000                  // samples after which all counts are halved
	quantileNeeded  = 50                    // samples before a quantile is told
)

var quantileLogRatio = math.Log(quantileRatio)

// latencyHistogram estimates quantiles of recent latencies in bounded space.
// Its error is at most the width of a bucket.
type latencyHistogram struct {
	counts [quantileBuckets]uint32
	total  uint32
}

func (l *latencyHistogram) observe(latency time.Duration) {
	l.counts[bucketOf(latency)]++
	l.total++
	if l.total < quantileWindow {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

func bucketOf(latency time.Duration) int {
	if latency <= quantileLeast {
		return 0
	}
	bucket := math.Ceil(math.Log(float64(latency)/float64(quantileLeast)) / quantileLogRatio)
	return min(quantileBuckets-1, int(bucket))
}

// quantile returns the upper end of the bucket that holds the quantile, or zero while
// there are too few samples.
func (l *latencyHistogram) quantile(q float64) time.Duration {
	if l.total < quantileNeeded {
		return 0
	}
	left := q * float64(l.total)
	for i, count := range l.counts {
		if left -= float64(count); left <= 0 {
			return time.Duration(float64(quantileLeast) * math.Pow(quantileRatio, float64(i)))
		}
	}
	return time.Duration(float64(quantileLeast) * math.Pow(quantileRatio, quantileBuckets-1))
}
