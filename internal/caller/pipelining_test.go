package caller

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/verdict"
)

const pipelined = "POST /v1/pay/charge HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n"

// Guards against time limits that start only when a request is read: one that was sent
// behind another on its connection waits for that one's answer first. The second
// request arrives together with the first, or while the first runs.
func TestPipelinedRequestsCountFromTheirArrival(t *testing.T) {
	const first = 400 * time.Millisecond
	for name, later := range map[string]bool{"together": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestServer(t, 8)
			connection, err := net.Dial("tcp", f.address)
			assert.NilError(t, err)
			defer func() { _ = connection.Close() }()
			_, err = connection.Write([]byte(pipelined))
			assert.NilError(t, err)
			if !later {
				_, err = connection.Write([]byte(pipelined))
				assert.NilError(t, err)
			}
			running := f.take()
			if later {
				_, err = connection.Write([]byte(pipelined))
				assert.NilError(t, err)
			}
			sent := testClock.Now()
			time.Sleep(first)
			running.Reply.Send(call.Answer{Verdict: verdict.Ran, Status: 200})
			waiting := f.take()
			waited := testClock.Now().Sub(waiting.Request.Received)
			assert.Assert(t, waited > first-2*disconnectCheckInterval, "counted from %v after its arrival", waiting.Request.Received.Sub(sent))
			waiting.Reply.Send(call.Answer{Verdict: verdict.Ran, Status: 200})
		})
	}
}
