package upstream

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

// Guards against an answer that ends within its head, or anywhere before its end, and
// reaches the caller as a whole one: no cut may give an answer or a refusal.
func TestCutAnswersAreNoAnswers(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id\r\n"
	for name, answer := range map[string]string{
		"length":          reply("id", "whole"),
		"chunks":          header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"trailer":         header + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n5\r\nwhole\r\n0\r\nX-End: 1\r\n\r\n",
		"interim":         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + reply("id", "whole"),
		"without content": "HTTP/1.1 204 No Content\r\n" + HeaderRequestID + ": id\r\n\r\n",
		"refusal":         reply("id", "full", HeaderRan+": "+RanNo),
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(answer) + 1 {
				c := newConnection("u", newMemoryConnection(answer[:cut]), 0, memory.NewBudget(testBody))
				out := readAnswer(c, NativeDialect{})
				whole := cut == len(answer)
				assert.Equal(t, out.Answer.Verdict != verdict.MayHaveRun, whole, "cut after %q: %v", answer[:cut], out.Answer)
			}
		})
	}
}
