package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	sheddingSlots = 9
	sheddingRuns  = 30 // runs a second
	sheddingWork  = 120 * time.Millisecond
)

// sheddingRun is a run that the upstream has taken, with the number of runs right after its
// start.
type sheddingRun struct {
	ends        clock.Instant
	concurrency int
}

// sheddingUpstream answers runs after sheddingWork and sheds others at once.
type sheddingUpstream struct {
	limiter *Limiter
	now     clock.Instant
	running []sheddingRun
	// sheds decides for a run, given the number of runs with it.
	sheds func(concurrency int) bool
	least int
}

func newSheddingUpstream(sheds func(int) bool) *sheddingUpstream {
	u := &sheddingUpstream{limiter: NewLimiter(), now: 1, sheds: sheds, least: sheddingSlots}
	u.limiter.LearnCapacity(true)
	u.limiter.Announce(fleet.Upstream{Name: "u", Boot: "1", Slots: sheddingSlots, ColdSlots: sheddingSlots})
	return u
}

// run sends runs for a time, as many at once as the limit allows.
func (u *sheddingUpstream) run(d time.Duration) {
	for end := u.now.Add(d); u.now < end; u.now = u.now.Add(time.Second / sheddingRuns / 4) {
		for len(u.running) > 0 && u.running[0].ends <= u.now {
			concurrency := u.running[0].concurrency
			u.running = u.running[1:]
			u.limiter.Finish(u.now, Good, sheddingWork)
			u.limiter.Observe(u.now, &Sample{Operation: "o", RunTime: sheddingWork, Concurrency: concurrency})
		}
		if !u.limiter.Start() {
			continue
		}
		if u.sheds(u.limiter.Running()) {
			u.limiter.FinishShed(u.now, u.limiter.Running())
		} else {
			u.running = append(u.running, sheddingRun{ends: u.now.Add(sheddingWork), concurrency: u.limiter.Running()})
		}
		u.least = min(u.least, u.limiter.Limit())
	}
}

// TestShedsWithoutOverloadKeepTheLimit runs an upstream that refuses 55 of 100 runs whatever
// its load, for 8.5 s. It guards against a limit that falls to one: most slots then stay
// unused, also for many seconds after the refusals have ended.
func TestShedsWithoutOverloadKeepTheLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	share := 0.0
	u := newSheddingUpstream(func(int) bool { return random.Float64() < share })
	u.run(5 * time.Second)
	share = 0.55
	u.run(8500 * time.Millisecond)
	assert.Assert(t, u.least >= sheddingSlots/2, "limit fell to %d", u.least)
}

// TestShedsOfAnOverloadedUpstreamLowerTheLimit runs an upstream that takes 4 of its 9
// announced slots. It guards against keeping a limit that the upstream refuses.
func TestShedsOfAnOverloadedUpstreamLowerTheLimit(t *testing.T) {
	sheds, sent := 0, 0
	u := newSheddingUpstream(func(concurrency int) bool {
		sent++
		if concurrency > 4 {
			sheds++
		}
		return concurrency > 4
	})
	u.run(5 * time.Second)
	sheds, sent = 0, 0
	u.run(20 * time.Second)
	assert.Assert(t, u.limiter.Limit() <= 5, "limit is %d", u.limiter.Limit())
	assert.Assert(t, sheds*10 <= sent, "%d of %d runs were shed", sheds, sent)
}

// TestLongRunsDoNotProveThePresentConcurrency answers a run that started at 9 runs and then
// sheds one at 9. It guards against a limit that stays too high while runs that the upstream
// took before its overload end.
func TestLongRunsDoNotProveThePresentConcurrency(t *testing.T) {
	for runTime, lowered := range map[time.Duration]bool{sheddingWork: false, 900 * time.Millisecond: false, 5 * time.Second: true} {
		u := newSheddingUpstream(func(int) bool { return false })
		for range sheddingSlots {
			assert.Assert(t, u.limiter.Start())
		}
		u.now = u.now.Add(10 * time.Second)
		u.limiter.Finish(u.now, Good, runTime)
		u.limiter.Observe(u.now, &Sample{Operation: "o", RunTime: runTime, Concurrency: sheddingSlots})
		before := u.limiter.Limit()
		u.limiter.FinishShed(u.now, sheddingSlots)
		assert.Equal(t, u.limiter.Limit() < before, lowered, "run of %v: limit %d after %d", runTime, u.limiter.Limit(), before)
	}
}
