package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/memory"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

const (
	testBody   = 1 << 10 // limit on request bodies, in bytes
	testMemory = 1 << 20 // bytes for requests in progress
)

var testClock = clock.NewMonotonic()

// newTestMemory returns memory whose bodies share a budget.
func newTestMemory(bodies *memory.Budget) *Memory {
	buffers := memory.NewBuffers(bodies)
	go func() { _ = buffers.Run(context.Background()) }()
	return NewMemory(testClock, MemoryLimits{
		MaxConnections: 64, MaxBody: 1 << 20, Connections: memory.NewBudget(4 << 20), Bodies: bodies, Answers: memory.NewBudget(1 << 20),
		Buffers: buffers,
	}, event.NewLog(io.Discard, "test"))
}

// testServer is a caller server on a TCP port. The test takes its requests from the
// ring.
type testServer struct {
	t        *testing.T
	server   *Server
	requests *ring.Ring[*Request]
	address  string
}

func newTestServer(t *testing.T, capacity int) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &testServer{t: t, requests: ring.New[*Request]("requests", capacity, ring.Refuse), address: listener.Addr().String()}
	f.server = NewServer(testClock, f.requests, testBody, func(*call.Answer, time.Duration) {})
	go func() {
		_ = f.server.App().Listener(NewStreamListener(listener, newTestMemory(memory.NewBudget(testMemory))))
	}()
	t.Cleanup(func() { _ = f.server.App().ShutdownWithTimeout(time.Second) })
	return f
}

// open sends a request on a connection of its own.
func (f *testServer) open(headers string, body string) net.Conn {
	connection, err := net.Dial("tcp", f.address)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST /v1/pay/charge HTTP/1.1\r\nHost: r\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
	assert.NilError(f.t, err)
	return connection
}

func (f *testServer) take() *Request {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := f.requests.Take(ctx)
	assert.NilError(f.t, err)
	return request
}

func (f *testServer) read(connection net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(f.t, err)
	return response
}

// TestDisconnectedCallerIsAbandoned checks that a request is reported as abandoned
// once its caller has closed the connection, but not while the caller waits or has
// already sent its next request.
func TestDisconnectedCallerIsAbandoned(t *testing.T) {
	f := newTestServer(t, 8)
	waiting := f.open("", "")
	first := f.take()
	_, err := waiting.Write([]byte("POST /v1/pay/charge HTTP/1.1\r\n"))
	assert.NilError(t, err)
	gone := f.open("", "")
	second := f.take()
	assert.Assert(t, first.Number != second.Number)
	assert.NilError(t, gone.Close())
	abandonment := f.take()
	assert.Assert(t, abandonment.Abandoned)
	assert.Equal(t, abandonment.Number, second.Number)
	assert.Equal(t, f.requests.Depth(), 0)
	second.Reply.Send(call.Answer{})
	first.Reply.Send(call.Answer{RequestID: "id", Verdict: verdict.Ran, Status: 201, Body: []byte("whole")})
	assert.Equal(t, f.read(waiting).StatusCode, 201)
}

// TestStopClosesAfterTheAnswer checks that a response carries Connection: close
// after Stop, even if the request was already in flight.
func TestStopClosesAfterTheAnswer(t *testing.T) {
	f := newTestServer(t, 8)
	connection := f.open("", "")
	request := f.take()
	f.server.Stop()
	request.Reply.Send(call.Answer{Verdict: verdict.NotRun})
	assert.Assert(t, f.read(connection).Close)
}

// TestRefusalsBeforeTheGateway checks status and verdict of requests that the
// server refuses without the gateway.
func TestRefusalsBeforeTheGateway(t *testing.T) {
	for name, c := range map[string]struct {
		headers, body string
		full          bool
		status        int
		verdict       string
	}{
		"long id":                   {HeaderRequestID + ": " + strings.Repeat("x", maxIDLength+1) + "\r\n", "", false, 400, "not-run"},
		"attempt not a number":      {HeaderAttempt + ": many\r\n", "", false, 400, "not-run"},
		"negative timeout":          {HeaderTimeout + ": -5\r\n", "", false, 400, "not-run"},
		"body too large":            {"", strings.Repeat("x", testBody+1), false, 413, "not-run"},
		"queue full":                {"", "", true, 503, "not-run"},
		"queue full, resend":        {HeaderAttempt + ": 2\r\n", "", true, 502, "may-have-run"},
		"queue full, first attempt": {HeaderAttempt + ": 1\r\n", "", true, 503, "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestServer(t, 1)
			if c.full {
				assert.NilError(t, f.requests.Put(context.Background(), &Request{}))
			}
			response := f.read(f.open(c.headers, c.body))
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, response.Header.Get(HeaderVerdict), c.verdict)
		})
	}
}
