package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// TestNotRunSpeaksForEarlierSends checks what the caller of a request that was
// sent before is told: not-run only if the door that keeps the record says so.
func TestNotRunSpeaksForEarlierSends(t *testing.T) {
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
		w := newWorld(1)
		if c.owned {
			w.join(0)
			for s := range uint32(testShards) {
				w.own(s, 0)
			}
		}
		w.core.Start(w.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: c.operation, Resend: c.resend})
		finished := false
		for range 1000 {
			out := w.core.Take()
			for _, s := range out.Sends {
				w.core.Answered(w.now, s.Router.ID, call.Refusal(&s.Call, verdict.NotRun, c.reason))
			}
			for _, f := range out.Finishes {
				assert.Equal(t, f.Answer.Verdict, c.want, c.name)
				finished = true
			}
			w.now = max(w.now, min(w.core.Deadline(), w.now.Add(retryDelay)))
			w.core.Tick(w.now)
		}
		assert.Assert(t, finished, c.name)
	}
	w := newWorld(1)
	w.core.SetViewLease(0)
	w.core.Start(w.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: "reserve", Resend: true})
	assert.Equal(t, w.core.Take().Finishes[0].Answer.Verdict, verdict.MayHaveRun)
}

// TestAbandonCancelsCalls checks that a request without a caller costs its door
// nothing more.
func TestAbandonCancelsCalls(t *testing.T) {
	w := newWorld(1)
	w.join(0)
	w.core.Start(w.now, Request{Token: 1, ID: "id", Service: "reservations", Operation: "lookup"})
	sent := w.core.Take().Sends
	assert.Equal(t, len(sent), 1)
	w.core.Abandon(w.now, 2)
	w.core.Abandon(w.now, 1)
	out := w.core.Take()
	assert.Equal(t, len(out.Cancels), 1)
	assert.Equal(t, out.Cancels[0].Number, sent[0].Call.Number)
	assert.Equal(t, out.Finishes[0].Answer.Verdict, verdict.MayHaveRun)
	assert.Equal(t, w.core.Len(), 0)
}
