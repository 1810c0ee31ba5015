package wire

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// Guards against an answer of another router whose status callers would read as a success.
func TestAnswerWithInvalidStatusIsLost(t *testing.T) {
	for status, want := range map[int]bool{-200: false, 0: false, 99: false, 100: true, 599: true, 600: false, 1200: false} {
		_, valid := ToAnswer(FromAnswer(&call.Answer{Verdict: verdict.Ran, Status: status}))
		assert.Check(t, valid == want, "status %d", status)
		_, valid = ToAnswer(FromAnswer(&call.Answer{Verdict: verdict.NotRun, Status: status}))
		assert.Check(t, valid == (want || status == 0), "refusal with status %d", status)
	}
}
