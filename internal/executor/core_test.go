package executor

import (
	"testing"

	"gotest.tools/v3/assert"
)

const (
	simSeeds = 2000 // seeds of the randomized test
	simSteps = 1000 // steps per seed
)

// TestAtMostOnce runs the randomized simulation for each seed and checks that a
// non-idempotent request runs at most once, that not-run is true, that each
// answer reaches its own caller, and that no call is handed over without
// ownership.
func TestAtMostOnce(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(simSeeds) {
		w := newSimulation(t, seed)
		for range simSteps {
			w.step()
		}
		w.settle()
		for outcome, n := range w.outcomes {
			outcomes[outcome] += n
		}
	}
	t.Logf("answers: %v", outcomes)
	for _, outcome := range []string{"ran ", "not-run not-owner", "not-run overloaded", "may-have-run record-lost", "may-have-run duplicate", "may-have-run deadline", "delegated ran", "delegated not-run", "delegated may-have-run"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no request ended with %s", outcome)
		}
	}
}

// TestAtMostOnceUnderContention runs the randomized simulation with the queue bounded by time
// and with shares: calls that are moved in the queue, evicted or refused early must not break
// what TestAtMostOnce checks, and no run may stay accounted as running.
func TestAtMostOnceUnderContention(t *testing.T) {
	for seed := range uint64(simSeeds / 4) {
		w := newSimulation(t, seed)
		w.load = LoadSettings{QueueByTime: seed%2 == 0, ShareFloor: 0.5, ParentAdmission: true}
		for _, router := range w.routers {
			router.core.SetLoad(w.load)
		}
		for range simSteps {
			w.step()
			for _, router := range w.routers {
				c := router.core
				assert.Equal(t, c.running.runs, c.limiter.Running(), "seed %d", seed)
				queued := 0
				for _, j := range c.jobs {
					if j.phase == jobQueued {
						queued++
					}
				}
				assert.Equal(t, c.queue.length, queued, "seed %d", seed)
				assert.Assert(t, queued > 0 || c.queue.work == 0 && c.queue.lateWork == 0 && len(c.queue.classes) == 0, "seed %d", seed)
			}
		}
		w.settle()
	}
}
