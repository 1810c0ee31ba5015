package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

const testBody = 1 << 10 // largest request body in tests

// front is a caller server whose requests the test takes from the ring.
type front struct {
	t        *testing.T
	server   *Server
	requests *ring.Ring[*Request]
	address  string
}

func newFront(t *testing.T, capacity int) *front {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &front{t: t, requests: ring.New[*Request]("requests", capacity, ring.Refuse), address: listener.Addr().String()}
	f.server = NewServer(f.requests, testBody, func(*call.Answer, time.Duration) {})
	go func() { _ = f.server.App().Listener(listener) }()
	t.Cleanup(func() { _ = f.server.App().ShutdownWithTimeout(time.Second) })
	return f
}

// open sends a request on a connection of its own.
func (f *front) open(headers string, body string) net.Conn {
	connection, err := net.Dial("tcp", f.address)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST /v1/pay/charge HTTP/1.1\r\nHost: r\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
	assert.NilError(f.t, err)
	return connection
}

func (f *front) take() *Request {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := f.requests.Take(ctx)
	assert.NilError(f.t, err)
	return request
}

func (f *front) read(connection net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(f.t, err)
	return response
}

// TestCallerGone checks that the entry learns of a caller that closed its
// connection, and not of one that waits or has sent its next request.
func TestCallerGone(t *testing.T) {
	f := newFront(t, 8)
	waiting := f.open("", "")
	first := f.take()
	_, err := waiting.Write([]byte("POST /v1/pay/charge HTTP/1.1\r\n"))
	assert.NilError(t, err)
	gone := f.open("", "")
	second := f.take()
	assert.Assert(t, first.Number != second.Number)
	assert.NilError(t, gone.Close())
	notice := f.take()
	assert.Assert(t, notice.Abandoned)
	assert.Equal(t, notice.Number, second.Number)
	assert.Equal(t, f.requests.Depth(), 0)
	second.Reply.Send(call.Answer{})
	first.Reply.Send(call.Answer{RequestID: "id", Verdict: verdict.Ran, Status: 201, Body: []byte("whole")})
	assert.Equal(t, f.read(waiting).StatusCode, 201)
}

// TestStopClosesAfterTheAnswer checks that an answer says so if its connection
// is about to be closed, also if the stop came while the request was under way.
func TestStopClosesAfterTheAnswer(t *testing.T) {
	f := newFront(t, 8)
	connection := f.open("", "")
	request := f.take()
	f.server.Stop()
	request.Reply.Send(call.Answer{Verdict: verdict.NotRun})
	assert.Assert(t, f.read(connection).Close)
}

// TestRefusalsBeforeTheEntry states what the server refuses by itself.
func TestRefusalsBeforeTheEntry(t *testing.T) {
	for name, c := range map[string]struct {
		headers, body string
		full          bool
		status        int
		verdict       string
	}{
		"long id":                 {HeaderRequestID + ": " + strings.Repeat("x", maxIDLength+1) + "\r\n", "", false, 400, "not-run"},
		"no number":               {HeaderAttempt + ": many\r\n", "", false, 400, "not-run"},
		"negative timeout":        {HeaderTimeout + ": -5\r\n", "", false, 400, "not-run"},
		"body too large":          {"", strings.Repeat("x", testBody+1), false, 413, "not-run"},
		"too many requests":       {"", "", true, 503, "not-run"},
		"too many, sent before":   {HeaderAttempt + ": 2\r\n", "", true, 502, "may-have-run"},
		"too many, sent only now": {HeaderAttempt + ": 1\r\n", "", true, 503, "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, 1)
			if c.full {
				assert.NilError(t, f.requests.Put(context.Background(), &Request{}))
			}
			response := f.read(f.open(c.headers, c.body))
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, response.Header.Get(HeaderVerdict), c.verdict)
		})
	}
}
