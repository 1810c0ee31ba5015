package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const loadStep = 4 * time.Millisecond

// loadRun is a run at a loaded upstream. work is what is left of it.
type loadRun struct {
	sample Sample
	began  clock.Instant
	work   float64
	// wait is the time that its nested calls take elsewhere.
	wait float64
}

// loadedUpstream is an upstream in virtual time under Poisson arrivals, with widely
// distributed run times and phases of 400 ms in which work takes three times as long.
type loadedUpstream struct {
	limiter *Limiter
	random  *rand.Rand
	now     clock.Instant
	slots   int
	// rate is the number of arrivals a second, mix the mean work of each operation.
	rate float64
	mix  []float64
	// peak is the concurrency from which throughput falls, or zero.
	peak int
	// states is set if slow phases are stated; slowdown multiplies all run times.
	states   bool
	slowdown float64
	// report, if set, makes the reports in place of the true ones.
	report func() *Report
	slow   bool
	// nested is the mean time that nested calls of 70% of the runs take.
	nested float64
	queued int
	runs   []loadRun
	done   float64
	cuts   int
	lowest int
}

func newLoadedUpstream(seed uint64, slots int, rate float64, mix ...float64) *loadedUpstream {
	u := &loadedUpstream{limiter: NewLimiter(), random: rand.New(rand.NewPCG(seed, 3)), now: clock.Instant(time.Hour), rate: rate, mix: mix, slots: slots, slowdown: 1, lowest: slots}
	u.limiter.LearnCapacity(true)
	u.announce("1")
	return u
}

func (u *loadedUpstream) announce(boot string) {
	u.limiter.Announce(fleet.Upstream{Name: "u", Boot: boot, Slots: u.slots, ColdSlots: 4})
}

// work draws a lognormal amount of work with a coefficient of variation of 0.8; 2% of
// the runs take six times the mean instead.
func (u *loadedUpstream) work(mean float64) float64 {
	if u.random.IntN(50) == 0 {
		return 6 * mean
	}
	const sigma = 0.703
	return 0.9 * mean * math.Exp(sigma*u.random.NormFloat64()-sigma*sigma/2)
}

// stretch returns the factor by which runs take longer at a concurrency: with a peak,
// throughput falls by half from there to three times the peak.
func (u *loadedUpstream) stretch(n int) float64 {
	if u.peak == 0 || n <= u.peak {
		return 1
	}
	x := float64(n) / float64(u.peak)
	return x * (1 + (x-1)/2)
}

func (u *loadedUpstream) run(d time.Duration) {
	for end := u.now.Add(d); u.now < end; u.now = u.now.Add(loadStep) {
		if u.now%clock.Instant(400*time.Millisecond) == 0 {
			u.slow = u.random.IntN(5) == 0
		}
		if u.random.Float64() < u.rate*loadStep.Seconds() {
			u.queued = min(u.queued+1, 18)
		}
		for u.queued > 0 && u.limiter.Start() {
			u.queued--
			op := u.random.IntN(len(u.mix))
			r := loadRun{sample: Sample{Operation: strconv.Itoa(op), Concurrency: u.limiter.Running()}, began: u.now, work: u.work(u.mix[op])}
			if u.random.IntN(10) < 7 {
				r.wait = u.random.ExpFloat64() * u.nested
			}
			u.runs = append(u.runs, r)
		}
		u.advance()
		if u.limiter.Limit() < u.limiter.limit {
			u.lowest = min(u.lowest, u.limiter.Limit())
		}
	}
}

func (u *loadedUpstream) advance() {
	phase := u.slowdown
	if u.slow {
		phase *= 3
	}
	working := 0
	for i := range u.runs {
		if u.runs[i].wait <= 0 {
			working++
		}
	}
	done := loadStep.Seconds() / phase / u.stretch(working)
	left := u.runs[:0]
	for _, r := range u.runs {
		if r.wait > 0 {
			r.wait -= loadStep.Seconds()
		} else {
			r.work -= done
		}
		if r.work > 0 {
			left = append(left, r)
			continue
		}
		r.sample.RunTime = u.now.Add(loadStep).Sub(r.began)
		if u.states {
			r.sample.Report = &Report{Slots: u.slots, Slowdown: 1}
			if u.slow {
				r.sample.Report.Slowdown = 3
			}
		}
		if u.report != nil {
			r.sample.Report = u.report()
		}
		u.done++
		u.limiter.Finish(u.now, Good, r.sample.RunTime)
		u.limiter.Observe(u.now, &r.sample)
		if change, ok := u.limiter.TakeLearnedChange(); ok && change.To < change.From {
			u.cuts++
		}
	}
	u.runs = left
}

// TestHealthyUpstreamKeepsItsSlots guards against taking noise for congestion: 20 to
// 130 runs a second for 10 minutes, from a part of the slots to more than all of them,
// with wide run times, slow phases (stated in half of the cases), a mixture of
// operations, and nested calls that at times take six times as long.
func TestHealthyUpstreamKeepsItsSlots(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		slots        int
		rate, nested float64
		mix          []float64
		seeds        uint64
	}{{18, 85, 0, []float64{0.24, 0.06, 0.1}, 50}, {18, 130, 0, []float64{0.24, 0.06, 0.1}, 10}, {18, 20, 0, []float64{0.59}, 10}, {9, 45, 0.035, []float64{0.12}, 10}} {
		for half := range uint64(2) {
			t.Run(fmt.Sprint(c, half), func(t *testing.T) {
				t.Parallel()
				for seed := half; seed < c.seeds; seed += 2 {
					u := newLoadedUpstream(seed, c.slots, c.rate, c.mix...)
					u.states = half == 0
					for range 120 {
						u.nested = c.nested
						if u.random.IntN(4) == 0 {
							u.nested *= 6
						}
						u.run(5 * time.Second)
					}
					assert.Equal(t, u.cuts, 0, "seed %d", seed)
					if c.nested == 0 {
						assert.Equal(t, u.lowest, c.slots, "seed %d: a trial", seed)
					}
				}
			})
		}
	}
}

// TestLimitSettlesNearThePeak covers an upstream whose throughput turns to fall from a
// third of its slots, at 70 runs a second. It serves 61 a second at its peak, and 37 in
// all without a learner. When the effect ends, the limit must rise again.
func TestLimitSettlesNearThePeak(t *testing.T) {
	t.Parallel()
	soon, settled, recovered, done := 0, 0, 0, 0.0
	for seed := range uint64(60) {
		u := newLoadedUpstream(seed, 18, 100, 0.07, 0.04, 0.1)
		u.states = seed%2 == 0
		u.run(15 * time.Second)
		u.rate, u.peak = 70, 6
		u.run(20 * time.Second)
		if u.limiter.Learned() <= 10 {
			soon++
		}
		u.run(20 * time.Second)
		before := u.done
		u.run(40 * time.Second)
		done += u.done - before
		if u.limiter.Learned() <= 10 {
			settled++
		}
		u.rate, u.peak = 200, 0
		u.run(2 * time.Minute)
		if u.limiter.Learned() >= 15 {
			recovered++
		}
	}
	t.Logf("of 60: %d settled within 20 s, %d after 80 s, %d recovered; %.1f runs a second", soon, settled, recovered, done/60/40)
	assert.Assert(t, soon >= 48 && settled >= 55 && recovered >= 50)
	assert.Assert(t, done/60/40 >= 55)
}

// TestPassingChangesCutNothing covers a full upstream on which all work takes three
// times as long for 5 s, and one whose operations change from short to long ones.
func TestPassingChangesCutNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		u := newLoadedUpstream(seed, 18, 100, 0.07, 0.06, 0.24)
		u.states = seed%2 == 0
		u.run(20 * time.Second)
		u.slowdown = 3
		u.run(5 * time.Second)
		u.slowdown = 1
		u.run(20 * time.Second)
		assert.Equal(t, u.cuts, 0, "slow for 5 s, seed %d", seed)
		u.mix = []float64{0.07, 0.59, 0.31}
		u.run(time.Minute)
		assert.Equal(t, u.cuts, 0, "change of the mix, seed %d", seed)
	}
}

// TestRestartDiscardsWhatWasLearned guards against a limit that outlives the boot that
// it was learned from.
func TestRestartDiscardsWhatWasLearned(t *testing.T) {
	u := newLoadedUpstream(1, 18, 100, 0.07)
	u.run(15 * time.Second)
	u.limiter.learner.learned = 5
	u.announce("1")
	assert.Equal(t, u.limiter.Limit(), 5, "the same boot")
	u.announce("2")
	assert.Equal(t, u.limiter.Learned(), 18)
	assert.Equal(t, u.limiter.Limit(), 4, "the cold capacity")
	u.limiter.LearnCapacity(false)
	assert.Equal(t, u.limiter.Learned(), 0)
}

// TestOverloadLowersALearnedLimit guards against a shed or timeout that lowers only the
// own limit, far above the learned one in force.
func TestOverloadLowersALearnedLimit(t *testing.T) {
	for outcome, want := range map[Outcome]int{Shed: 6, TimedOut: 4, Failed: 4} {
		u := newLoadedUpstream(1, 18, 200, 0.07)
		u.run(15 * time.Second)
		assert.Equal(t, u.limiter.Limit(), 18)
		u.limiter.learner.learned = 8
		u.limiter.Finish(u.now, outcome, time.Minute)
		assert.Equal(t, u.limiter.Limit(), want)
	}
}

// TestNonsenseReportsCutNothing covers reports that are missing or state impossible
// figures, in random order.
func TestNonsenseReportsCutNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		u := newLoadedUpstream(seed, 18, 130, 0.24, 0.06)
		u.report = func() *Report {
			return []*Report{nil, {}, {Slowdown: -3}, {Slowdown: math.NaN()}, {Slowdown: math.Inf(1)}, {Slowdown: 1e300}, {Slowdown: 1e-300}}[u.random.IntN(7)]
		}
		u.run(2 * time.Minute)
		assert.Equal(t, u.lowest, 18, "seed %d", seed)
	}
}

// BenchmarkObserve takes runs of 64 operations, without and within trials.
func BenchmarkObserve(b *testing.B) {
	l, now := NewLearner(), clock.Instant(time.Hour)
	l.Announce(18, "1")
	samples := make([]Sample, 4096)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range samples {
		samples[i] = Sample{Operation: strconv.Itoa(i % maxOperations), RunTime: time.Duration(random.Int64N(1e8) + 1), Concurrency: 1 + i%18}
		l.Observe(now, 18, &samples[i])
	}
	l.learned = 12
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		l.Observe(now, 18, &samples[i%len(samples)])
	}
}
