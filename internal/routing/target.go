package routing

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	latencyWeight = 0.2                    // weight of a new sample in the moving average
	firstLatency  = time.Millisecond       // assumed before the first sample
	forgetAfter   = 500 * time.Millisecond // quiet time after which a slow target is tried again
)

// target is what an entry knows of one door.
type target struct {
	router   fleet.Router
	inFlight int
	load     call.Load
	latency  time.Duration
	seen     clock.Instant
}

func (t *target) observe(now clock.Instant, latency time.Duration) {
	t.seen = now
	if t.latency == 0 {
		t.latency = latency
		return
	}
	t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
}

// score estimates how long a new request would take at the target.
func (t *target) score(now clock.Instant) float64 {
	latency := t.latency
	if latency == 0 || now.Sub(t.seen) > forgetAfter {
		latency = firstLatency
	}
	waiting := max(t.inFlight, t.load.InFlight+t.load.Queued)
	return float64(latency) * float64(waiting+1) / float64(max(1, t.load.Limit))
}
