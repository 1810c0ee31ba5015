package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stopping router that ends with requests unanswered, or whose last answers
// tell a caller that its request has not run although it has.
func TestStoppingGatewayAnswersEachRequestOnce(t *testing.T) {
	for seed := range uint64(seeds / 10) {
		sim := newSimulation(seed)
		waiting := time.Duration(sim.random.IntN(900)) * time.Millisecond
		end, sends := waiting+time.Duration(sim.random.IntN(200))*time.Millisecond, 0
		sim.after(waiting, func() {
			sim.core.RefuseWaiting(sim.now)
			assert.Equal(t, sim.core.Waiting(), 0, "seed %d", seed)
			sends = len(sim.callRouters)
		})
		sim.after(end, func() {
			sim.core.EndRequests(sim.now)
			assert.Equal(t, sim.core.Len(), 0, "seed %d", seed)
		})
		checkFaults(t, seed, simulateFaults(sim))
		assert.Equal(t, len(sim.callRouters), sends, "seed %d: calls were sent after the stop", seed)
	}
}
