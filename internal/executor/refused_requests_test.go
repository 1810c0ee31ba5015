package executor

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// Guards against a request that runs twice because an upstream repeats, on another
// connection, its refusal of the request's earlier run: only a run of a request that the
// upstream has not refused before is sent as such.
func TestSecondRunOfARefusedRequestIsMarked(t *testing.T) {
	for reason, marked := range map[verdict.Reason]bool{
		verdict.ReasonShed: true, verdict.ReasonFenced: true, verdict.ReasonUpstreamGone: false, verdict.ReasonLeaseExpired: false,
	} {
		s := newFixture(t, true)
		s.submit("id", nil)
		run := s.take().Runs[0]
		assert.Assert(t, !run.RefusedBefore)
		s.core.Complete(s.now, Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, verdict.NotRun, reason), Health: admission.Neutral})
		s.submit("id", nil)
		assert.Equal(t, s.take().Runs[0].RefusedBefore, marked, "%s", reason)
		s.submit("other", nil)
		assert.Assert(t, !s.take().Runs[0].RefusedBefore)
	}
}

func TestRefusedRequestsAreBounded(t *testing.T) {
	r := newRefusedRequests()
	for i := range 2*maxRefusedRequests + 1 {
		r.add(fmt.Sprint(i))
		r.add(fmt.Sprint(i))
		assert.Assert(t, r.has(fmt.Sprint(max(0, i-maxRefusedRequests+1))), "the %d latest are known", maxRefusedRequests)
		assert.Assert(t, i < maxRefusedRequests || !r.has(fmt.Sprint(i-maxRefusedRequests)))
	}
	assert.Equal(t, len(r.known), maxRefusedRequests)
}
