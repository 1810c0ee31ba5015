// Package admission limits what one upstream is given at once. A started
// upstream gets what it bears and more only as it proves healthy.
package admission

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	coldFloor      = 1                      // requests at once if the upstream does not say what it bears
	growEvery      = 4                      // good completions at full use per step, in multiples of the limit
	slowFactor     = 4                      // times the moving average that counts as slow
	latencyWeight  = 0.1                    // weight of a new sample in the moving average
	minimumLatency = time.Millisecond       // latencies below count as equal
	shrinkEvery    = 100 * time.Millisecond // shortest time between cuts of the limit
)

// Limiter decides how many requests an upstream runs at once.
type Limiter struct {
	slots   int
	cold    int
	limit   int
	running int
	good    int
	latency time.Duration
	boot    string
	cutAt   clock.Instant
}

// NewLimiter returns a limiter that admits nothing until Announce.
func NewLimiter() *Limiter { return &Limiter{} }

// Announce takes what the upstream says of itself. A new boot makes it cold.
func (l *Limiter) Announce(u fleet.Upstream) (turnedCold bool) {
	l.slots = max(1, u.Slots)
	l.cold = min(l.slots, max(coldFloor, u.ColdSlots))
	if l.limit == 0 || u.Boot != l.boot {
		l.boot = u.Boot
		l.turnCold()
		return true
	}
	l.limit = min(l.limit, l.slots)
	return false
}

func (l *Limiter) turnCold() {
	l.limit = l.cold
	l.good = 0
	l.latency = 0
}

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int { return l.limit }

// Running returns how many requests run.
func (l *Limiter) Running() int { return l.running }

// Latency returns the moving average of run times, zero before the first.
func (l *Limiter) Latency() time.Duration { return l.latency }

// Start takes a place and reports whether there was one.
func (l *Limiter) Start() bool {
	if l.running >= l.limit {
		return false
	}
	l.running++
	return true
}

// Finish gives a place back and adapts the limit. It reports whether the limit
// changed.
func (l *Limiter) Finish(now clock.Instant, outcome Outcome, latency time.Duration) bool {
	before := l.limit
	full := l.running >= l.limit
	l.running--
	switch {
	case outcome == Failed:
		l.turnCold()
	case outcome == Shed:
		l.cut(now)
	case l.slow(latency):
		l.observe(latency)
		l.good = 0
	default:
		l.observe(latency)
		l.grow(full)
	}
	return l.limit != before
}

func (l *Limiter) slow(latency time.Duration) bool {
	return l.latency > 0 && latency > slowFactor*max(l.latency, minimumLatency)
}

func (l *Limiter) observe(latency time.Duration) {
	if l.latency == 0 {
		l.latency = latency
		return
	}
	l.latency += time.Duration(latencyWeight * float64(latency-l.latency))
}

func (l *Limiter) grow(full bool) {
	if !full || l.limit >= l.slots {
		return
	}
	l.good++
	if l.good >= growEvery*l.limit {
		l.good = 0
		l.limit++
	}
}

func (l *Limiter) cut(now clock.Instant) {
	l.good = 0
	if now.Sub(l.cutAt) < shrinkEvery {
		return
	}
	l.cutAt = now
	l.limit = max(min(l.cold, l.limit), l.limit*3/4)
}
