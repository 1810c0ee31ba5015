package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/verdict"
)

// Guards against requests that are held past their time limit because they waited
// before they reached the gateway: the limit counts from their arrival.
func TestLimitsCountFromTheArrival(t *testing.T) {
	const limit = 300 * time.Millisecond // of the operation lookup
	for _, waited := range []time.Duration{0, limit / 3, limit - 1} {
		sim := newSimulation(1)
		sim.addRouter(0)
		sim.core.Start(sim.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: "lookup", Timeout: time.Second, Received: sim.now.Add(-waited)})
		sends := sim.core.Take().Sends
		assert.Equal(t, len(sends), 1)
		assert.Equal(t, sends[0].Call.Deadline, sim.now.Add(limit-waited), "the upstream gets what is left")
		sim.core.Tick(sim.now.Add(limit - waited))
		assert.Equal(t, len(sim.core.Take().Replies), 1, "waited %v", waited)
	}
	for _, waited := range []time.Duration{limit, time.Hour} {
		sim := newSimulation(1)
		sim.addRouter(0)
		sim.core.Start(sim.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: "lookup", Received: sim.now.Add(-waited)})
		out := sim.core.Take()
		assert.Equal(t, len(out.Sends), 0, "waited %v", waited)
		assert.Equal(t, out.Replies[0].Answer.Verdict, verdict.NotRun)
		assert.Equal(t, out.Replies[0].Answer.Reason, verdict.ReasonDeadline)
		assert.Equal(t, sim.core.Len(), 0)
	}
}
