package event

import "time"

const (
	// linesPerSecond limits the lines per second of one kind of event. A request
	// has up to four events, so that the failures of some tens of requests a second
	// are logged completely.
	linesPerSecond = 60
	// successesPerSecond limits the lines per second about requests that ran. It is
	// lower, so that failures have priority: a router that answers 35 requests a
	// second then spends less than 3 % on its log.
	successesPerSecond = 15
	// quotaBurst is the number of seconds whose lines may be written in one burst.
	quotaBurst = 2.0
)

// quota limits the rate of lines of one kind with a token bucket.
type quota struct {
	tokens     float64
	lastRefill time.Time
	omitted    int64
}

// take reports whether a line may be written now, and counts it as omitted if
// not.
func (q *quota) take(now time.Time, perSecond float64) bool {
	if q.lastRefill.IsZero() {
		q.tokens = perSecond * quotaBurst
	}
	q.tokens = min(perSecond*quotaBurst, q.tokens+perSecond*max(0, now.Sub(q.lastRefill).Seconds()))
	q.lastRefill = now
	if q.tokens < 1 {
		q.omitted++
		return false
	}
	q.tokens--
	return true
}
