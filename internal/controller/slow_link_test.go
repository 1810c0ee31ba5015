package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Guards against routers that keep an old configuration because they replace their
// stream to the leader over and over: each answer takes longer than they wait for it.
func TestChangesArriveOverSlowLinks(t *testing.T) {
	view := timing().View.Value()
	for _, test := range []struct{ delay, within time.Duration }{
		{0, view}, {200 * time.Millisecond, view}, {350 * time.Millisecond, view}, {500 * time.Millisecond, view},
		{900 * time.Millisecond, 13 * time.Second},
	} {
		t.Run(test.delay.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(100) {
				sim := newSimulation(seed, 3)
				assert.Assert(t, sim.runUntilServed(serveTimeout), "seed %d: %v", seed, sim.failure)
				sim.linkDelay = test.delay
				sim.run(2 * time.Second)
				sim.operate(fsm.OperatorChange{Preset: preset("peak")})
				sim.run(test.within)
				assert.NilError(t, sim.failure, "seed %d", seed)
				for _, r := range sim.routers {
					assert.Equal(t, r.view.Config, fleet.Version(2), "seed %d: %s lacks the change", seed, r.name)
				}
			}
		})
	}
}
