package admission

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

const (
	maxOperations  = 64               // operations with a usual time of their own; others are not counted
	maxClasses     = 32               // concurrency classes; with fewer slots, each concurrency is one
	runTimeRuns    = 32               // runs over which their mean run time is taken
	floorShare     = 6                // the learned limit is never below the slots divided by this
	knownRuns      = 16               // runs after which a usual time or a class is used
	suspicionAt    = 2.0              // sum of evidence that starts a trial
	candidateShare = 0.6              // a suspected limit is at most this share of the limit
	minGain        = 0.2              // logarithm of the gain of the suspected limit below which a block is evidence against it
	minPairs       = 2                // fewest pairs of a trial that changes the limit
	maxPairs       = 4                // pairs after which a trial is decided
	largeGain      = 0.8              // sum of the logarithms of the gains of the pairs that lowers the limit before maxPairs
	smallGain      = 0.15             // mean of these logarithms that lowers the limit after maxPairs
	maxLoss        = 0.4              // sum of the logarithms of the losses that ends a trial at once
	minPause       = 4 * time.Second  // time between trials after a change
	maxPause       = 30 * time.Second // longest time between trials; it doubles after each one without a change
)

// Learner finds the concurrency beyond which the throughput of an upstream does
// not grow. It suspects a limit if, for some time, a full upstream does less work
// than it did at a much lower concurrency. Runs at a high concurrency also last
// longer if the upstream is slow for another reason, so suspicion alone proves
// nothing: a trial compares both limits in turn, and only its result changes the
// learned limit. While the limit is lowered, trials of other limits follow.
type Learner struct {
	slots   int
	boot    string
	learned int
	// operations holds the index in usual of each operation.
	operations map[string]int
	usual      [maxOperations]usualTime
	classes    [maxClasses]concurrencyClass

	block block
	// full is set if the limit bounded the last block.
	full bool
	// suspicion is the sum of the evidence of the blocks, never below zero.
	suspicion float64
	// runTime is a moving average of run times.
	runTime time.Duration

	trial trial
	// trying is set during a trial.
	trying  bool
	nextAt  clock.Instant
	pause   time.Duration
	probes  int
	change  LearnedChange
	changed bool
}

// NewLearner returns a learner that limits nothing before Announce.
func NewLearner() *Learner { return &Learner{operations: make(map[string]int, maxOperations)} }

// Announce takes the slots and the boot ID of an announcement. It starts anew if
// either has changed.
func (l *Learner) Announce(slots int, boot string) {
	if slots == l.slots && boot == l.boot {
		return
	}
	clear(l.operations)
	*l = Learner{slots: slots, boot: boot, learned: slots, operations: l.operations, pause: minPause}
}

// Limit returns the limit at present, which is one of a trial's while there is a
// trial.
func (l *Learner) Limit() int {
	if l.trying {
		return l.trial.limit()
	}
	return l.learned
}

// Learned returns the limit that the trials so far have led to.
func (l *Learner) Learned() int { return l.learned }

// TakeChange returns the last change of the learned limit since the last call,
// and whether there was one.
func (l *Learner) TakeChange() (LearnedChange, bool) {
	change, changed := l.change, l.changed
	l.changed = false
	return change, changed
}

// floor returns the lowest limit that is learned.
func (l *Learner) floor() int { return max(1, (l.slots+floorShare-1)/floorShare) }

// Observe takes the end of a run. allowed is the limit that applies without the
// learner.
func (l *Learner) Observe(now clock.Instant, allowed int, s *Sample) {
	if l.slots == 0 || s.RunTime <= 0 || s.Concurrency <= 0 {
		return
	}
	u := l.usualOf(s.Operation)
	if u == nil {
		return
	}
	l.runTime += (s.RunTime - l.runTime) / runTimeRuns
	slowdown := 0.0
	if s.Report != nil && s.Report.Slowdown >= MinSlowdown && s.Report.Slowdown <= MaxSlowdown {
		slowdown = math.Log(s.Report.Slowdown)
	}
	class := l.class(s.Concurrency)
	work := math.Log(s.RunTime.Seconds()) - slowdown
	known := u.known()
	if class.runs >= knownRuns || !known {
		u.add(work - class.log)
	}
	if !known {
		return
	}
	normalized := work - u.log
	if l.trying {
		class.add(now, s.Concurrency, normalized)
		l.observeTrial(now, allowed, s.Concurrency, math.Exp(u.log+slowdown))
		return
	}
	l.observeBlock(now, min(allowed, l.learned), s.Concurrency, normalized)
	class.add(now, s.Concurrency, normalized)
	l.probe(now, allowed)
}

// usualOf returns the usual time of an operation, or nil if there are too many.
func (l *Learner) usualOf(operation string) *usualTime {
	i, ok := l.operations[operation]
	if !ok {
		if i = len(l.operations); i == maxOperations {
			return nil
		}
		l.operations[operation] = i
	}
	return &l.usual[i]
}

func (l *Learner) class(concurrency int) *concurrencyClass {
	i := concurrency
	if l.slots > maxClasses {
		i = (concurrency*maxClasses + l.slots - 1) / l.slots
	}
	return &l.classes[min(i, maxClasses)-1]
}

// observeBlock adds a run to the block and evaluates a complete one.
func (l *Learner) observeBlock(now clock.Instant, limit, concurrency int, log float64) {
	if limit != l.block.limit {
		l.block = block{began: now, limit: limit}
	}
	l.block.add(limit, concurrency, log)
	if !l.block.complete(now) {
		return
	}
	l.full = l.block.full()
	l.suspect(now, limit)
	l.block = block{began: now, limit: limit}
}

// suspect adds the evidence of a complete block and starts a trial once there is
// enough. One block counts at most 1, so that a single slow phase starts no trial.
func (l *Learner) suspect(now clock.Instant, limit int) {
	if !l.full {
		l.suspicion = max(0, l.suspicion-1)
		return
	}
	candidate, best := l.best(now, int(candidateShare*float64(limit)))
	if candidate == 0 {
		return
	}
	evidence := best - l.block.throughput() - minGain
	l.suspicion = max(0, l.suspicion+min(1, max(-1, evidence)))
	if l.suspicion < suspicionAt || now < l.nextAt {
		return
	}
	l.suspicion = 0
	l.start(now, candidate, limit)
}

// best returns the concurrency up to most with the highest throughput and the
// logarithm of that, or zero if none is known.
func (l *Learner) best(now clock.Instant, most int) (concurrency int, throughput float64) {
	throughput = math.Inf(-1)
	for i := range l.classes {
		c := &l.classes[i]
		n := int(c.concurrency + 0.5)
		if n < l.floor() || n > most || c.weight(now) < knownRuns {
			continue
		}
		if t := c.throughput(now); t > throughput {
			concurrency, throughput = n, t
		}
	}
	return concurrency, throughput
}

func (l *Learner) start(now clock.Instant, low, high int) {
	l.trying, l.trial = true, newTrial(now, low, high, l.runTime)
}

func (l *Learner) end(now clock.Instant, pause time.Duration) {
	l.trying, l.full, l.nextAt = false, false, now.Add(pause)
	l.block = block{}
}

// observeTrial adds a run to the trial and ends the trial once it is decided.
func (l *Learner) observeTrial(now clock.Instant, allowed, concurrency int, work float64) {
	t := &l.trial
	switch {
	case allowed < t.high || t.stalled(now):
		l.end(now, minPause)
	case !t.observe(now, concurrency, work):
	case t.high > l.learned:
		l.judgeRaise(now)
	default:
		l.judgeCut(now)
	}
}

// judgeCut decides a trial of a lower limit than the learned one. A first reduction
// needs a large gain in all, a further one a lasting gain.
func (l *Learner) judgeCut(now clock.Instant) {
	t := &l.trial
	gain := t.logSum / float64(t.pairs)
	first := l.learned == l.slots
	switch {
	case 2*t.unlimited > t.pairs, t.logSum < -maxLoss:
		l.reject(now)
	case t.pairs >= minPairs && t.logSum >= largeGain, t.pairs >= maxPairs && (gain >= smallGain || !first && gain > 0):
		l.set(t.low, t.high, gain)
		l.end(now, l.pause)
	case t.pairs >= maxPairs:
		l.reject(now)
	}
	if !first && !l.trying {
		l.pause = minPause
	}
}

// judgeRaise decides a trial of a higher limit than the learned one. It is taken
// if the throughput grows by at least half of what proportional growth gives, or
// does not fall and serves the whole demand.
func (l *Learner) judgeRaise(now clock.Instant) {
	t := &l.trial
	gain := -t.logSum / float64(t.pairs)
	need := math.Log(float64(t.high)/float64(t.low)) / 2
	if 2*t.unlimited > t.pairs {
		need = 0
	}
	switch {
	case t.idle > 0:
		l.end(now, minPause)
	case t.pairs >= maxPairs && gain >= need:
		l.set(t.high, t.low, gain)
		l.end(now, l.pause)
	case t.pairs >= maxPairs, t.logSum > maxLoss:
		l.reject(now)
	}
}

// reject ends a trial without a change of the limit. The next one follows after twice
// the pause.
func (l *Learner) reject(now clock.Instant) {
	l.end(now, l.pause)
	l.pause = min(maxPause, 2*l.pause)
}

// set takes a limit of the trial as the learned one.
func (l *Learner) set(limit, compared int, gain float64) {
	l.change = LearnedChange{From: l.learned, To: limit, Ratio: math.Exp(gain), Pairs: l.trial.pairs, Compared: compared}
	l.changed = true
	l.learned, l.suspicion, l.pause = limit, 0, minPause
}

// probe starts the next trial while the limit is lowered, of a higher and a lower
// limit in turn.
func (l *Learner) probe(now clock.Instant, allowed int) {
	if l.learned >= l.slots || now < l.nextAt || allowed < l.learned || !l.full {
		return
	}
	l.probes++
	higher, lower := min(allowed, l.learned+max(1, l.learned/2)), l.learned-max(1, l.learned/4)
	switch {
	case l.probes%2 == 0 && lower >= l.floor():
		l.start(now, lower, l.learned)
	case higher > l.learned:
		l.start(now, l.learned, higher)
	}
}
