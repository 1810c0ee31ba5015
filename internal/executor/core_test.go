package executor

import (
	"testing"
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
