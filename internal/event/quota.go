package event

import "time"

const (
	// linesPerSecond bounds the lines a second of one kind of event. A request has
	// up to four events, so that some tens of requests a second are logged whole.
	linesPerSecond = 60
	// successesPerSecond bounds those about requests that ran: failures go first. A
	// router that answers 35 requests a second then spends under 3 % on its log.
	successesPerSecond = 15
	// quotaBurst is the number of seconds whose lines may come at once.
	quotaBurst = 2.0
)

// quota bounds the lines of one kind of event, as a token bucket.
type quota struct {
	tokens     float64
	lastRefill time.Time
	omitted    int64
}

// take reports whether a line may be written now; it counts one that may not.
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
