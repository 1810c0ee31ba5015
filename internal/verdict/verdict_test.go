package verdict

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestVerdictNamesAndRetries(t *testing.T) {
	for _, test := range []struct {
		verdict                             Verdict
		name                                string
		retryIdempotent, retryNonIdempotent bool
	}{
		{MayHaveRun, "may-have-run", true, false},
		{NotRun, "not-run", true, true},
		{Ran, "ran", false, false},
		{Verdict(77), "may-have-run", true, false},
	} {
		assert.Equal(t, test.verdict.String(), test.name)
		assert.Equal(t, test.verdict.Retryable(true), test.retryIdempotent, test.name)
		assert.Equal(t, test.verdict.Retryable(false), test.retryNonIdempotent, test.name)
		assert.Equal(t, Parse(test.name).String(), test.name)
	}
	var zero Verdict
	assert.Equal(t, zero, MayHaveRun)
	assert.Equal(t, Parse("NOT-RUN"), MayHaveRun)
}

func TestErrorsCarryTheirVerdict(t *testing.T) {
	err := New(NotRun, ReasonShed, "no room")
	assert.Error(t, err, "shed: no room")
	assert.Equal(t, Of(fmt.Errorf("wrapped: %w", err)), NotRun)
	assert.Equal(t, Of(errors.New("unclassified")), MayHaveRun)
	assert.Equal(t, Of(nil), MayHaveRun)
	assert.Error(t, errors.Unwrap(err), "no room")
}
