package executor

import (
	"testing"
)

const (
	simSeeds = 2000 // seeds of the randomized test
	simSteps = 1000 // steps for each seed
)

// TestAtMostOnce checks in virtual time, for each seed, that a non-idempotent
// request runs at most once, that NotRun is true, that answers go to their own
// callers and that nothing is handed over without ownership.
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
