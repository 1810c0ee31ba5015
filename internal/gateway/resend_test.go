package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// TestVerdictOfResentRequest checks that a resend of a non-idempotent request is
// answered not-run only if the executor that keeps its deduplication record says so:
// an earlier send may have run.
func TestVerdictOfResentRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		operation string
		resend    bool
		owned     bool
		reason    verdict.Reason
		want      verdict.Verdict
	}{
		{"first send, no owner", "reserve", false, false, "", verdict.NotRun},
		{"resend, no owner", "reserve", true, false, "", verdict.MayHaveRun},
		{"resend of a lookup, no owner", "lookup", true, false, "", verdict.NotRun},
		{"resend, the owner is overloaded", "reserve", true, true, verdict.ReasonOverloaded, verdict.NotRun},
		{"resend, the owner's upstream shed it", "reserve", true, true, verdict.ReasonShed, verdict.NotRun},
		{"resend, not the owner", "reserve", true, true, verdict.ReasonNotOwner, verdict.MayHaveRun},
		{"first send, not the owner", "reserve", false, true, verdict.ReasonNotOwner, verdict.NotRun},
		{"resend, never handed over", "reserve", true, true, verdict.ReasonConnection, verdict.MayHaveRun},
	} {
		sim := newSimulation(1)
		if c.owned {
			sim.addRouter(0)
			for s := range uint32(testShards) {
				sim.grantShard(s, 0)
			}
		}
		sim.core.Start(sim.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: c.operation, Resend: c.resend})
		answered := false
		for range 1000 {
			out := sim.core.Take()
			for _, s := range out.Sends {
				sim.core.HandleAnswer(sim.now, s.Router.ID, call.Refusal(&s.Call, verdict.NotRun, c.reason))
			}
			for _, reply := range out.Replies {
				assert.Equal(t, reply.Answer.Verdict, c.want, c.name)
				answered = true
			}
			sim.now = max(sim.now, min(sim.core.Deadline(), sim.now.Add(minParkDelay)))
			sim.core.Tick(sim.now)
		}
		assert.Assert(t, answered, c.name)
	}
	sim := newSimulation(1)
	sim.core.SetViewLease(0)
	sim.core.Start(sim.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: "reserve", Resend: true})
	assert.Equal(t, sim.core.Take().Replies[0].Answer.Verdict, verdict.MayHaveRun)
}

// TestAbandonCancelsCalls checks that the calls of a request are cancelled when its
// caller disconnects.
func TestAbandonCancelsCalls(t *testing.T) {
	sim := newSimulation(1)
	sim.addRouter(0)
	sim.core.Start(sim.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: "lookup"})
	sent := sim.core.Take().Sends
	assert.Equal(t, len(sent), 1)
	sim.core.Abandon(sim.now, 2)
	sim.core.Abandon(sim.now, 1)
	out := sim.core.Take()
	assert.Equal(t, len(out.Cancels), 1)
	assert.Equal(t, out.Cancels[0].Number, sent[0].Call.Number)
	assert.Equal(t, out.Replies[0].Answer.Verdict, verdict.MayHaveRun)
	assert.Equal(t, sim.core.Len(), 0)
}
