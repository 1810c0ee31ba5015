package upstream

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/verdict"
)

var invalidStatuses = []string{"000", "001", "099", "600", "999", "00", "20", "0200", "2000", "+20", "-20", "2x0", ""}

// Guards against an answer without a valid status that reaches the caller as a success, and
// against the reuse of its connection.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, answer := range map[string]string{
			"final":   strings.Replace(reply("id", "whole"), "200", status, 1),
			"interim": "HTTP/1.1 " + status + " Hints\r\n\r\n" + reply("id", "whole"),
			"refusal": strings.Replace(reply("id", "", HeaderRan+": "+RanNo), "200", status, 1),
			"spaces":  strings.Replace(reply("id", "whole"), "200", "  "+status, 1),
		} {
			f := newFakeUpstream(t, script{answer, reply("next", "first")}, script{reply("next", "second")})
			s, _ := newSender(t)
			out := s.Run(context.Background(), newRun("id", f.listener.Addr().String(), 2*time.Second))
			assert.Check(t, out.Answer.Verdict == verdict.MayHaveRun && out.Answer.Status == 0, "%s status %q: %v", name, status, out.Answer)
			next := s.Run(context.Background(), newRun("next", f.listener.Addr().String(), 2*time.Second))
			assert.Check(t, string(next.Answer.Body) == "second", "%s status %q: the connection was used again", name, status)
		}
	}
}

// Guards against a grant or a release that counts as confirmed by an answer without a
// valid status.
func TestInvalidStatusConfirmsNoRange(t *testing.T) {
	for _, status := range invalidStatuses {
		used := 0
		address := rangeServer(t, func(connection int, c net.Conn, _ string, _ RangeBody) {
			used = connection
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Result\r\nContent-Length: 0\r\n\r\n", status)
		})
		now := clock.NewMonotonic()
		client := NewRangeClient(now, NativeDialect{})
		for i, kind := range []executor.RangeRequestKind{executor.ReleaseRange, executor.GrantRange, executor.GrantRange} {
			out := client.Do(context.Background(), rangeRequest(address, 1, kind, now.Now()))
			assert.Check(t, out.Result == executor.RangeUnanswered && used == i+1, "%s with status %q: %v", kind, status, out)
		}
		client.Close()
	}
}
