package wire

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

// Guards against an answer of another router with a header field that callers would read as
// another one.
func TestAnswerWithInvalidFieldNameIsLost(t *testing.T) {
	for name, want := range map[string]bool{
		"X-Field": true, "x_field~": true, "": false, "X Field": false, "X-Field ": false, " X-Field": false, "X\tField": false, "X\x00Field": false,
		"X:Field": false, "X\r\nField": false, "X-\xe9": false,
	} {
		answer := call.Answer{Verdict: verdict.Ran, Status: 200, Header: []call.HeaderField{{Name: "A", Value: "1"}, {Name: name, Value: "1"}}}
		_, valid := ToAnswer(FromAnswer(&answer))
		assert.Check(t, valid == want, "%q", name)
	}
}
