package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// Guards against a withdrawn call that runs once its body has arrived, although its gateway was
// told that it has not run.
func TestWithdrawnCallsWithIncompleteBodiesAreCancelled(t *testing.T) {
	const huge = 64 << 20
	h := newPartsHarness(t, huge, true)
	withdraw := func(number uint64) {
		assert.NilError(t, h.link.calls.Put(h.ctx, &outgoingCall{call: call.Call{Number: number}, withdraw: true}))
	}
	h.send(1, []byte("whole"))
	assert.Assert(t, h.take().open != nil)
	assert.Equal(t, h.take().call.Number, uint64(1))
	withdraw(1)
	assert.Equal(t, h.take().withdraw, uint64(1))

	h.send(2, make([]byte, huge))
	for h.budget.Left() == huge {
		time.Sleep(time.Millisecond)
	}
	withdraw(2)
	lost, err := h.answers.Take(h.ctx)
	assert.NilError(t, err)
	assert.Assert(t, lost.lost && lost.answer.Number == 2)
	assert.Equal(t, lost.verdict, verdict.NotRun)
	h.awaitFree(huge)
	assert.Equal(t, h.submissions.Depth(), 0)
}
