package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
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
			assert.Equal(t, len(sim.core.output.Withdrawals), len(sim.core.callsByNumber), "seed %d", seed)
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

// Guards against a stopping router that takes a request of a run beside it, and breaks it off
// while its upstream is at work. A request that was sent before is finished if there is time.
func TestStoppingGatewayTakesOnlyNestedRequestsThatItCanFinish(t *testing.T) {
	const runTime = 300 * time.Millisecond
	core := newCoreWithRouters(t, 1, 2)
	now, token := clock.Instant(time.Hour), uint64(0)
	start := func(nested bool, timeout time.Duration) Output {
		token++
		core.Start(now, Request{Token: token, ID: "id", Method: "GET", Host: "h", Path: "/x", Target: "/x", Timeout: timeout, Nested: nested})
		return core.Take()
	}
	sent := start(true, time.Minute).Sends
	assert.Equal(t, len(sent), 1)
	now = now.Add(runTime)
	core.HandleAnswer(now, sent[0].Router.ID, call.Answer{Number: sent[0].Call.Number, RequestID: "id", Verdict: verdict.Ran, Status: 200, Load: call.Load{Limit: 9}})
	assert.Equal(t, core.Take().Replies[0].Answer.Verdict, verdict.Ran)

	end := now.Add(2 * time.Second)
	core.StopBy(end)
	assert.Equal(t, len(start(true, time.Minute).Sends), 1, "there is time for it")
	now = end.Add(-3 * runTime)
	refused := start(true, time.Minute)
	assert.Equal(t, len(refused.Sends), 0)
	assert.Equal(t, refused.Replies[0].Answer.Verdict, verdict.NotRun)
	assert.Equal(t, refused.Replies[0].Answer.Reason, verdict.ReasonStopping)
	assert.Equal(t, len(start(true, 2*runTime).Sends), 1, "its own time ends before")
	assert.Equal(t, len(start(false, time.Minute).Sends), 1, "a request that is not nested")
}
