package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

// tokenBytes are the bytes of a field name (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// invalidFields are header fields whose names hold blanks or control bytes.
var invalidFields = []string{
	"X Field: 1", "X-Field : 1", " X-Field: 1", "X-Field\t: 1", "X\tField: 1", "\tX-Field: 1", "X-Field\x00: 1", "X\x01Field: 1", "X\x7fField: 1",
	"X\rField: 1", "X-Field\r: 1", "\x0bX-Field: 1", ": 1", " : 1", " ", "X-Field",
	"Content-Length : 3", "Content-Length\t: 3", " Content-Length: 3", "Transfer-Encoding : chunked", "Transfer Encoding: chunked", "Connection : close",
}

// Guards against an answer with an invalid field name that reaches the caller as an answer or
// as a refusal, and against the reuse of its connection.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, field := range invalidFields {
		for name, answer := range map[string]string{
			"last":    reply("id", "whole", "X-Before: 1", field),
			"first":   strings.Replace(reply("id", "whole"), "OK\r\n", "OK\r\n"+field+"\r\n", 1),
			"only LF": strings.Replace(reply("id", "whole"), "OK\r\n", "OK\r\n"+field+"\n", 1),
			"interim": "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + reply("id", "whole"),
			"refusal": reply("id", "", HeaderRan+": "+RanNo, "X-Before: 1", field),
			"trailer": "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Before: 1\r\n" + field + "\r\n\r\n",
		} {
			f := newFakeUpstream(t, script{answer, reply("next", "first")}, script{reply("next", "second")})
			s, _ := newSender(t)
			out := s.Run(context.Background(), newRun("id", f.listener.Addr().String(), 2*time.Second))
			assert.Check(t, out.Answer.Verdict == verdict.MayHaveRun && out.Answer.Status == 0, "%s field %q: %v", name, field, out.Answer)
			next := s.Run(context.Background(), newRun("next", f.listener.Addr().String(), 2*time.Second))
			assert.Check(t, string(next.Answer.Body) == "second", "%s field %q: the connection was used again", name, field)
		}
	}
}

// Guards against a byte that is not allowed in a field name and makes another answer of it:
// each such byte at each place of each name of the head.
func TestAnyByteBesideTokensInFieldNamesIsRejected(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Field: 1\r\n" + HeaderRequestID + ": id\r\n\r\nwhole"
	for start, line := 0, ""; ; start += len(line) {
		line, _, _ = strings.Cut(answer[start:], "\n")
		line += "\n"
		if line == "\r\n" {
			return
		}
		if start == 0 {
			continue
		}
		for at := range strings.Index(line, ":") + 1 {
			for b := range 256 {
				// A colon ends the name, and a line feed at its start ends the head.
				if strings.IndexByte(tokenBytes, byte(b)) >= 0 || b == ':' || b == '\n' && at == 0 {
					continue
				}
				text := answer[:start+at] + string([]byte{byte(b)}) + answer[start+at:]
				out := readAnswer(newConnection("u", newMemoryConnection(text), 0, memory.NewBudget(testBody)), NativeDialect{})
				assert.Check(t, out.Answer.Verdict == verdict.MayHaveRun, "%q", text)
			}
		}
	}
}

// Guards against a request that waits for the rest of a head that is known to be broken.
func TestInvalidFieldNameIsRejectedBeforeTheHeadEnds(t *testing.T) {
	f := newFakeUpstream(t, script{"HTTP/1.1 200 OK\r\nX Field: 1\r\n"})
	s, _ := newSender(t)
	begun := time.Now()
	out := s.Run(context.Background(), newRun("id", f.listener.Addr().String(), 20*time.Second))
	assert.Equal(t, out.Answer.Reason, verdict.ReasonConnection)
	assert.Assert(t, time.Since(begun) < 10*time.Second)
}

// Guards against a grant or a release that counts as confirmed by an answer with an invalid
// field name.
func TestInvalidFieldNameConfirmsNoRange(t *testing.T) {
	for _, field := range invalidFields {
		used := 0
		address := rangeServer(t, func(connection int, c net.Conn, _ string, _ RangeBody) {
			used = connection
			_, _ = io.WriteString(c, "HTTP/1.1 200 Result\r\nContent-Length: 0\r\nX-Before: 1\r\n"+field+"\r\n\r\n")
		})
		now := clock.NewMonotonic()
		client := NewRangeClient(now, NativeDialect{})
		for i, kind := range []executor.RangeRequestKind{executor.ReleaseRange, executor.GrantRange, executor.GrantRange} {
			out := client.Do(context.Background(), rangeRequest(address, 1, kind, now.Now()))
			assert.Check(t, out.Result == executor.RangeUnanswered && used == i+1, "%s with field %q: %v", kind, field, out)
		}
		client.Close()
	}
}
