// Package admission limits what one upstream is given at once. A started
// upstream gets what it bears and more only as it proves healthy.
package admission

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	minLimit        = 1                      // requests at once if the upstream does not say what it bears
	growCompletions = 4                      // good completions per step, in multiples of the limit
	growPause       = 100 * time.Millisecond // shortest time between steps up
	shedPause       = 100 * time.Millisecond // shortest time between cuts for shedding
	coldTimeouts    = 2                      // timeouts without a good answer between that count as a cold turn
	coldSlowAnswers = 3                      // slow answers without a healthy one between that count as a cold turn
	slowFactor      = 4                      // times the usual upper latency that counts as slow
	upperDecay      = 0.01                   // share by which the usual upper latency follows lower samples
	latencyWeight   = 0.1                    // weight of a new sample in the moving average
	minimumLatency  = time.Millisecond       // latencies below count as equal
)

// Limiter decides how many requests an upstream runs at once.
type Limiter struct {
	slots   int
	cold    int
	limit   int
	running int
	// peak is the most that ran at once and good the number of healthy
	// completions since the limit last changed.
	peak int
	good int
	// latency is a moving average, upper a decaying maximum of healthy run times.
	latency        time.Duration
	upperLatency   time.Duration
	slowInSequence int
	timeouts       int
	boot           string
	// raisedAt is when the limit last grew, or when the first answer after a
	// cold turn came.
	raisedAt  clock.Instant
	reducedAt clock.Instant
	pace      pace
}

// NewLimiter returns a limiter that admits nothing until Announce.
func NewLimiter() *Limiter { return &Limiter{} }

// Announce takes what the upstream says of itself. A new boot makes it cold.
func (l *Limiter) Announce(u fleet.Upstream) (turnedCold bool) {
	l.slots = max(1, u.Slots)
	l.cold = min(l.slots, max(minLimit, u.ColdSlots))
	if l.limit == 0 || u.Boot != l.boot {
		l.boot = u.Boot
		l.resetCold()
		return true
	}
	l.set(min(l.limit, l.slots))
	return false
}

// turnCold falls back to what a started upstream bears, or stays below it, and
// learns latencies anew.
func (l *Limiter) resetCold() {
	target := l.cold
	if l.limit > 0 {
		target = min(l.limit, l.cold)
	}
	l.set(target)
	l.good, l.slowInSequence, l.timeouts = 0, 0, 0
	l.latency, l.upperLatency, l.raisedAt = 0, 0, 0
}

func (l *Limiter) set(limit int) {
	if limit != l.limit {
		l.limit, l.good, l.peak = limit, 0, l.running
	}
}

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int { return l.limit }

// Running returns how many requests run.
func (l *Limiter) Running() int { return l.running }

// Latency returns the moving average of run times, zero before the first.
func (l *Limiter) Latency() time.Duration { return l.latency }

// ColdRate sets the number of requests a second that a cold upstream bears;
// zero means that only the limit holds.
func (l *Limiter) SetColdRate(rate float64) { l.pace.rate = rate }

// ColdFor takes how long the upstream says that it stays cold.
func (l *Limiter) SetColdTime(now clock.Instant, cold time.Duration) { l.pace.setColdTime(now, cold) }

// Cold reports whether the upstream is cold.
func (l *Limiter) Cold(now clock.Instant) bool { return l.pace.cold(now) }

// InPace reports whether a request may be given to the upstream now as far as
// its coldness counts, and counts it.
func (l *Limiter) TakePaceToken(now clock.Instant) bool { return l.pace.take(now) }

// PaceDelay returns how long a cold upstream's pace keeps a request waiting
// behind a number of others.
func (l *Limiter) PaceDelay(now clock.Instant, ahead int) time.Duration {
	return l.pace.delay(now, ahead)
}

// NextStart returns when a cold upstream may be given its next request.
func (l *Limiter) NextPacedStart(now clock.Instant) clock.Instant { return l.pace.next(now) }

// Start takes a place and reports whether there was one.
func (l *Limiter) Start() bool {
	if l.running >= l.limit {
		return false
	}
	l.running++
	l.peak = max(l.peak, l.running)
	return true
}

// Finish gives a place back and adapts the limit. It reports whether the limit
// changed.
func (l *Limiter) Finish(now clock.Instant, outcome Outcome, latency time.Duration) bool {
	before := l.limit
	l.running--
	switch outcome {
	case Neutral:
	case Failed:
		l.resetCold()
	case TimedOut:
		l.timedOut(latency)
	case Shed:
		l.shed(now)
	default:
		l.answered(now, latency)
	}
	return l.limit != before
}

// timedOut takes a run that ended without an answer. A run that was given less
// time than runs usually take proves nothing.
func (l *Limiter) timedOut(latency time.Duration) {
	if l.upperLatency > 0 && !l.isSlow(latency) {
		return
	}
	l.timeouts++
	if l.timeouts >= coldTimeouts {
		l.resetCold()
		return
	}
	l.set(max(min(l.cold, l.limit), l.limit/2))
	l.good = 0
}

// cut takes a shed request as proof that the limit is too high.
func (l *Limiter) shed(now clock.Instant) {
	l.good = 0
	if l.reducedAt != 0 && now.Sub(l.reducedAt) < shedPause {
		return
	}
	l.reducedAt = now
	l.set(max(minLimit, l.limit*3/4))
}

func (l *Limiter) answered(now clock.Instant, latency time.Duration) {
	l.timeouts = 0
	if l.isSlow(latency) {
		l.slowInSequence++
		l.good = 0
		if l.slowInSequence >= coldSlowAnswers {
			l.resetCold()
		}
		return
	}
	l.slowInSequence = 0
	l.observe(latency)
	l.grow(now)
}

func (l *Limiter) isSlow(latency time.Duration) bool {
	return l.upperLatency > 0 && latency > slowFactor*max(l.upperLatency, minimumLatency)
}

func (l *Limiter) observe(latency time.Duration) {
	if l.latency == 0 {
		l.latency = latency
	}
	l.latency += time.Duration(latencyWeight * float64(latency-l.latency))
	if latency >= l.upperLatency {
		l.upperLatency = latency
		return
	}
	l.upperLatency -= time.Duration(upperDecay * float64(l.upperLatency-latency))
}

// grow raises the limit by one after enough healthy completions, if the limit
// was reached meanwhile: what was never tried proves nothing.
func (l *Limiter) grow(now clock.Instant) {
	if l.raisedAt == 0 {
		l.raisedAt = now
	}
	l.good++
	if l.limit >= l.slots || l.peak < l.limit || l.good < growCompletions*l.limit {
		return
	}
	if now.Sub(l.raisedAt) < growPause {
		return
	}
	l.raisedAt = now
	l.set(l.limit + 1)
}
