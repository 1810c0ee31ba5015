package upstream

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/verdict"
)

// Guards against an earlier refusal, written once more on a kept connection, that is
// taken for one of the request which was sent after it and runs: it was another request's,
// or that of an earlier try of the same request. The upstream answers the request last.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	refused := reply("a", "", HeaderRan+": "+RanNo)
	for name, c := range map[string]struct {
		id    string
		later script
		want  string
	}{
		"of another request": {"b", script{refused + reply("b", "first connection")}, ""},
		"of an earlier try":  {"a", script{refused + reply("a", "first connection")}, "second connection"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeUpstream(t, append(script{refused}, c.later...), script{reply(c.id, "second connection")})
			s, _ := newSender(t)
			address := f.listener.Addr().String()
			out := s.Run(context.Background(), newRun("a", address, time.Minute))
			assert.Equal(t, out.Answer.Verdict, verdict.NotRun)
			out = s.Run(context.Background(), newRun(c.id, address, time.Minute))
			assert.Assert(t, out.Answer.Verdict != verdict.NotRun, "%v", out.Answer)
			assert.Equal(t, string(out.Answer.Body), c.want)
		})
	}
}
