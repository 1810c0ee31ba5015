package caller

import (
	"bufio"
	"net"
	"net/http"
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

// Guards against a finished answer that is held back until the next request on the
// connection has been answered too.
func TestPipelinedAnswersAreNotHeldBack(t *testing.T) {
	f := newTestServer(t, 8)
	connection, err := net.Dial("tcp", f.address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = connection.Write([]byte(pipelined + pipelined))
	assert.NilError(t, err)
	f.take().Reply.Send(call.Answer{Verdict: verdict.Ran, Status: 200})
	running := f.take()
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	running.Reply.Send(call.Answer{Verdict: verdict.Ran, Status: 200})
}
