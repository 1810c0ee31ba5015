// Package admission limits the concurrency of one upstream. A limit starts at
// the upstream's cold capacity and rises only as the upstream proves healthy. If it is
// to be learned, it also stays below the concurrency from which throughput no longer
// grows.
package admission

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	minLimit        = 1                      // lowest limit, also for an upstream that doesn't announce its cold slots
	growCompletions = 4                      // healthy completions per step up, in multiples of the limit
	growPause       = 100 * time.Millisecond // minimum time between steps up
	shedPause       = 100 * time.Millisecond // minimum time between reductions for shedding; sheds within it come from the same overload
	coldTimeouts    = 2                      // timeouts without a Good outcome in between after which the upstream counts as cold
	coldSlowAnswers = 3                      // slow answers without a healthy one in between after which the upstream counts as cold
	slowFactor      = 4                      // multiple of the upper latency from which an answer counts as slow
	upperDecay      = 0.01                   // weight of a lower sample in the upper latency
	latencyWeight   = 0.1                    // weight of a new sample in the moving average
	minimumLatency  = time.Millisecond       // least upper latency used to judge slow answers
)

// Limiter decides how many requests an upstream runs at once.
type Limiter struct {
	slots   int
	cold    int
	limit   int
	running int
	// peak is the highest concurrency and good the number of healthy
	// completions since the limit last changed. The limit rises only if peak
	// has reached it.
	peak int
	good int
	// latency is a moving average, upperLatency a decaying maximum of healthy
	// run times.
	latency        time.Duration
	upperLatency   time.Duration
	slowInSequence int
	timeouts       int
	boot           string
	// raisedAt is when the limit last rose, or the time of the first healthy
	// answer after a reset to cold.
	raisedAt  clock.Instant
	reducedAt clock.Instant
	pace      pace
	// learner is nil while the limit is not learned.
	learner *Learner
	// accepted is kept while the limit is learned.
	accepted acceptedConcurrency
}

// NewLimiter returns a limiter that admits nothing until Announce.
func NewLimiter() *Limiter { return &Limiter{} }

// Announce takes the slots of an announcement. A new boot ID resets the limit
// to the cold capacity. It reports whether the limit was reset.
func (l *Limiter) Announce(u fleet.Upstream) (reset bool) {
	l.slots = max(1, u.Slots)
	l.cold = min(l.slots, max(minLimit, u.ColdSlots))
	if l.learner != nil {
		l.learner.Announce(l.slots, u.Boot)
	}
	if l.limit == 0 || u.Boot != l.boot {
		l.boot = u.Boot
		l.accepted = acceptedConcurrency{}
		l.resetCold()
		return true
	}
	l.set(min(l.limit, l.slots))
	return false
}

// resetCold lowers the limit to the cold capacity, unless it is lower already,
// and restarts the latency measurement.
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

// LearnCapacity starts or stops learning a limit from run times. What was learned
// is discarded when it stops.
func (l *Limiter) LearnCapacity(on bool) {
	switch {
	case !on:
		l.learner = nil
	case l.learner == nil:
		l.learner = NewLearner()
		if l.slots > 0 {
			l.learner.Announce(l.slots, l.boot)
		}
	}
}

// Observe takes a run that the upstream answered, after its Finish. It reports
// whether the limit changed.
func (l *Limiter) Observe(now clock.Instant, s *Sample) bool {
	if l.learner == nil {
		return false
	}
	before := l.Limit()
	l.accepted.record(now, now.Add(-s.RunTime), s.Concurrency)
	l.learner.Observe(now, l.limit, s)
	return l.Limit() != before
}

// FinishShed is Finish for a run that the upstream refused because of overload.
// concurrency is the number of runs right after this one started. While the limit is
// learned, the refusal lowers it only if no answered run has lately started at this or a
// higher concurrency: otherwise the upstream refuses for another reason, and
// a lower limit would only leave its slots unused.
func (l *Limiter) FinishShed(now clock.Instant, concurrency int) bool {
	if l.learner == nil {
		return l.Finish(now, Shed, 0)
	}
	before, accepted := l.Limit(), l.accepted.highest(now)
	l.running--
	if concurrency > accepted {
		l.shed(now, accepted)
	}
	return l.Limit() != before
}

// Learned returns the learned limit, or zero if none is learned.
func (l *Limiter) Learned() int {
	if l.learner == nil {
		return 0
	}
	return l.learner.Learned()
}

// TakeLearnedChange returns the last change of the learned limit since the last
// call, and whether there was one.
func (l *Limiter) TakeLearnedChange() (LearnedChange, bool) {
	if l.learner == nil {
		return LearnedChange{}, false
	}
	return l.learner.TakeChange()
}

// Limit returns the maximum number of requests at once: the lower one of the own
// limit and the learned one.
func (l *Limiter) Limit() int {
	if l.learner == nil || l.limit == 0 {
		return l.limit
	}
	return min(l.limit, l.learner.Limit())
}

// Running returns the number of requests in flight.
func (l *Limiter) Running() int { return l.running }

// Latency returns the moving average of run times, or zero before the first.
func (l *Limiter) Latency() time.Duration { return l.latency }

// SetColdRate sets how many requests a second a cold upstream may get. With
// zero, only the concurrency limit applies.
func (l *Limiter) SetColdRate(rate float64) { l.pace.rate = rate }

// SetColdTime sets the remaining time of the cold start that the upstream
// reported.
func (l *Limiter) SetColdTime(now clock.Instant, cold time.Duration) { l.pace.setColdTime(now, cold) }

// Cold reports whether the upstream is in a cold start with a limited rate.
func (l *Limiter) Cold(now clock.Instant) bool { return l.pace.cold(now) }

// TakePaceToken takes a token of the cold rate and reports whether one was
// available. A warm upstream needs none.
func (l *Limiter) TakePaceToken(now clock.Instant) bool { return l.pace.take(now) }

// PaceDelay returns how long the cold rate delays a request behind a number of
// others.
func (l *Limiter) PaceDelay(now clock.Instant, ahead int) time.Duration {
	return l.pace.delay(now, ahead)
}

// NextPacedStart returns when the cold rate allows the next request.
func (l *Limiter) NextPacedStart(now clock.Instant) clock.Instant { return l.pace.next(now) }

// Start takes a slot and reports whether one was free.
func (l *Limiter) Start() bool {
	if l.running >= l.Limit() {
		return false
	}
	l.running++
	l.peak = max(l.peak, l.running)
	return true
}

// Finish frees a slot and adapts the limit. It reports whether the limit
// changed.
func (l *Limiter) Finish(now clock.Instant, outcome Outcome, latency time.Duration) bool {
	before := l.Limit()
	l.running--
	switch outcome {
	case Neutral:
	case Failed:
		l.resetCold()
	case TimedOut:
		l.timedOut(latency)
	case Shed:
		l.shed(now, 0)
	default:
		l.answered(now, latency)
	}
	return l.Limit() != before
}

// timedOut halves the limit, down to the cold capacity, and resets to cold
// after repeated timeouts. A timeout below the threshold of a slow answer
// proves nothing: the caller may just have set a short deadline.
func (l *Limiter) timedOut(latency time.Duration) {
	if l.upperLatency > 0 && !l.isSlow(latency) {
		return
	}
	l.timeouts++
	if l.timeouts >= coldTimeouts {
		l.resetCold()
		return
	}
	l.set(max(min(l.cold, l.Limit()), l.Limit()/2))
	l.good = 0
}

// shed lowers the limit by a quarter, but not below a concurrency at which runs are known
// to be taken: a shed request proves that the limit is too high.
func (l *Limiter) shed(now clock.Instant, accepted int) {
	l.good = 0
	if l.reducedAt != 0 && now.Sub(l.reducedAt) < shedPause {
		return
	}
	l.reducedAt = now
	l.set(max(minLimit, l.Limit()*3/4, min(l.Limit(), accepted)))
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

// grow raises the limit by one after enough healthy completions. The limit must
// have been reached meanwhile, since an untried concurrency proves nothing.
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
