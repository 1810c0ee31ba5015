package gateway

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Guards against a stopping router that ends with requests unanswered, or whose last answers
// tell a caller that its request has not run although it has.
func TestStoppingGatewayAnswersEachRequestOnce(t *testing.T) {
	for seed := range uint64(seeds / 10) {
		sim := newSimulation(seed)
		waiting := time.Duration(sim.random.IntN(900)) * time.Millisecond
		end := waiting + time.Duration(sim.random.IntN(200))*time.Millisecond
		sim.after(waiting, func() {
			sim.core.RefuseWaiting(sim.now)
			withdrawn := 0
			for _, p := range sim.core.requestsByToken {
				assert.Assert(t, len(p.calls) > 0 || p.mayHaveRun, "seed %d: %s waits", seed, p.request.ID)
				if !p.mayHaveRun {
					withdrawn += len(p.calls)
				}
			}
			assert.Equal(t, len(sim.core.output.Withdrawals), withdrawn, "seed %d", seed)
			sim.checkSend = func(s *Send) {
				p := sim.core.requestsByToken[s.Token]
				assert.Assert(t, p.idempotent && p.mayHaveRun && !s.Call.Hedge, "seed %d: %s was sent after the stop", seed, s.Call.RequestID)
			}
		})
		sim.after(end, func() {
			sim.core.EndRequests(sim.now)
			assert.Equal(t, sim.core.Len(), 0, "seed %d", seed)
			sim.checkSend = func(s *Send) { t.Errorf("seed %d: %s was sent after the end", seed, s.Call.RequestID) }
		})
		checkFaults(t, seed, simulateFaults(sim))
	}
}

// Guards against an idempotent request that is given up because its run was broken off
// elsewhere between two steps of the stop, while there is time for another one.
func TestStoppingGatewaySendsBrokenOffRequestsAgain(t *testing.T) {
	core := newCoreWithRouters(t, 1, 3)
	now := clock.Instant(time.Hour)
	answer := func(s *Send, v verdict.Verdict, reason verdict.Reason) Output {
		core.HandleAnswer(now, s.Router.ID, call.Answer{Number: s.Call.Number, RequestID: "id", Verdict: v, Reason: reason})
		return core.Take()
	}
	core.Start(now, Request{Token: 1, ID: "id", Method: "GET", Host: "h", Path: "/x", Target: "/x", Timeout: time.Minute})
	first := core.Take().Sends
	core.RefuseWaiting(now)
	assert.Equal(t, len(core.Take().Withdrawals), 1)
	second := answer(&first[0], verdict.MayHaveRun, verdict.ReasonCancelled).Sends
	assert.Equal(t, len(second), 1, "answered instead of sent again")
	third := answer(&second[0], verdict.NotRun, verdict.ReasonStopping).Sends
	assert.Equal(t, len(third), 1, "the other router stops too")
	core.EndRequests(now)
	out := core.Take()
	assert.Equal(t, len(out.Replies), 1)
	assert.Equal(t, out.Replies[0].Answer.Verdict, verdict.MayHaveRun)
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

// Guards against a stopping router that forgets the run times of its routes when the preset
// changes, and takes a request of a run beside it that it breaks off.
func TestStoppingGatewayKnowsRunTimesAfterAPresetChange(t *testing.T) {
	const runTime = 400 * time.Millisecond
	core := newCoreWithRouters(t, 1, 2)
	now, token := clock.Instant(time.Hour), uint64(0)
	start := func() Output {
		token++
		core.Start(now, Request{Token: token, ID: "id", Method: "GET", Host: "h", Path: "/x", Target: "/x", Timeout: time.Minute, Nested: true})
		return core.Take()
	}
	apply := func(change func(*fleet.Preset)) {
		preset := *core.View().Preset
		preset.Number++
		preset.Routes = slices.Clone(preset.Routes)
		change(&preset)
		version := core.View().Version
		assert.Assert(t, core.SetView(now, &fleet.Change{From: version, To: version + 1, Preset: &preset}))
		core.Take()
	}
	apply(func(p *fleet.Preset) { p.Routes[0].Timeout = time.Minute })
	sent := start().Sends
	assert.Equal(t, len(sent), 1)
	now = now.Add(runTime)
	core.HandleAnswer(now, sent[0].Router.ID, call.Answer{Number: sent[0].Call.Number, RequestID: "id", Verdict: verdict.Ran, Status: 200, Load: call.Load{Limit: 9}})
	core.Take()
	core.StopBy(now.Add(3 * runTime))

	assert.Equal(t, len(start().Sends), 0, "there is no time for it")
	apply(func(p *fleet.Preset) { p.Routes[0].Objective = time.Second })
	assert.Equal(t, len(start().Sends), 0, "there is no time for it after the change")
	apply(func(p *fleet.Preset) { p.Routes[0].Name = "another" })
	assert.Equal(t, len(core.runTimes), 0, "a route that is gone")
}
