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

// Guards against a request that runs a second time because the upstream repeats its refusal
// of an earlier run on another connection: the refusal names the request, but not the run.
func TestRefusalOfAnEarlierRunProvesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		refusal       string
		refusedBefore bool
		want          verdict.Verdict
	}{
		"first refusal":         {reply("a", "", HeaderRan+": "+RanNo), false, verdict.NotRun},
		"second refusal":        {reply("a", "", HeaderRan+": "+RanNo), true, verdict.MayHaveRun},
		"of the run":            {reply("a", "", HeaderRan+": "+RanNo, HeaderRun+": 1"), true, verdict.NotRun},
		"of another run":        {reply("a", "", HeaderRan+": "+RanNo, HeaderRun+": 2"), true, verdict.MayHaveRun},
		"of the run, other one": {reply("b", "", HeaderRan+": "+RanNo, HeaderRun+": 1"), true, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeUpstream(t, script{c.refusal})
			s, _ := newSender(t)
			run := newRun("a", f.listener.Addr().String(), time.Minute)
			run.RefusedBefore = c.refusedBefore
			assert.Equal(t, s.Run(context.Background(), run).Answer.Verdict, c.want)
		})
	}
}
