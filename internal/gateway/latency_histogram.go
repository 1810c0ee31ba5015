package gateway

import (
	"math"
	"time"
)

const (
	histogramBuckets = 160
	bucketRatio      = 1.1                   // upper limit of a bucket relative to the one before
	firstBucketLimit = 50 * time.Microsecond // upper limit of the first bucket
	histogramWindow  = 2000                  // samples after which all counts are halved, so that old ones fade
	minSamples       = 50                    // samples required for a quantile
)

var bucketLogRatio = math.Log(bucketRatio)

// latencyHistogram estimates quantiles of recent latencies in constant space, with
// buckets of exponentially growing width. The error is at most the width of a
// bucket.
type latencyHistogram struct {
	counts [histogramBuckets]uint32
	total  uint32
}

func (h *latencyHistogram) observe(latency time.Duration) {
	h.counts[bucketIndex(latency)]++
	h.total++
	if h.total < histogramWindow {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

func bucketIndex(latency time.Duration) int {
	if latency <= firstBucketLimit {
		return 0
	}
	bucket := math.Ceil(math.Log(float64(latency)/float64(firstBucketLimit)) / bucketLogRatio)
	return min(histogramBuckets-1, int(bucket))
}

// quantile returns the upper limit of the bucket that holds the quantile, or zero
// if there are fewer than minSamples samples.
func (h *latencyHistogram) quantile(q float64) time.Duration {
	if h.total < minSamples {
		return 0
	}
	left := q * float64(h.total)
	for i, count := range h.counts {
		if left -= float64(count); left <= 0 {
			return time.Duration(float64(firstBucketLimit) * math.Pow(bucketRatio, float64(i)))
		}
	}
	return time.Duration(float64(firstBucketLimit) * math.Pow(bucketRatio, histogramBuckets-1))
}
