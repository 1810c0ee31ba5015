package caller

import (
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/memory"
	"endivespring/internal/ring"
	"endivespring/internal/settings"
	"endivespring/internal/verdict"
)

// Guards against a request that is called a bad one because there was no memory for it.
func TestRequestWithoutMemoryIsOverload(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	requests := ring.New[*Request]("requests", 1, ring.Refuse)
	server := NewServer(testClock, requests, 1<<20, func(*call.Answer, time.Duration) {})
	go func() { _ = server.App().Listener(NewStreamListener(listener, newTestMemory(memory.NewBudget(1<<10)))) }()
	defer func() { _ = server.App().ShutdownWithTimeout(time.Second) }()
	body := strings.NewReader(strings.Repeat("b", 4*firstBytes))
	response, err := http.Post("http://"+listener.Addr().String()+"/v1/s/lookup", "text/plain", body)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(HeaderVerdict), verdict.NotRun.String())
	assert.Equal(t, response.Header.Get(HeaderReason), string(verdict.ReasonOverloaded))
	assert.Equal(t, requests.Depth(), 0)
}

// Guards against requests that the library refuses on a connection that is kept, whose bytes
// add up.
func TestRefusedRequestsGiveBackTheirMemory(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(testClock, ring.New[*Request]("requests", 1, ring.Refuse), 1<<20, func(*call.Answer, time.Duration) {})
	shared := newTestMemory(memory.NewBudget(1 << 20))
	go func() { _ = server.App().Listener(NewStreamListener(listener, shared)) }()
	defer func() { _ = server.App().ShutdownWithTimeout(time.Second) }()
	for range 100 {
		response, err := http.Post("http://"+listener.Addr().String()+"/unknown", "text/plain", strings.NewReader(strings.Repeat("b", 20000)))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusNotFound)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		connections, bodies, _ := shared.Used()
		if connections == shared.Open()*idleCost && bodies == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "used: %d and %d bytes by %d connections", connections, bodies, shared.Open())
	}
}

// Guards against defaults with which idle connections alone use up the memory of connections, so
// that each request closes one.
func TestRequestsFitBesideIdleConnections(t *testing.T) {
	setting := func(name string) int {
		field, ok := reflect.TypeFor[settings.Router]().FieldByName(name)
		assert.Assert(t, ok)
		number, err := strconv.Atoi(field.Tag.Get("default"))
		assert.NilError(t, err)
		return number
	}
	const reading = 200
	idle := setting("MaxConnections") - reading
	assert.Assert(t, idle*idleCost+reading*readingCost <= setting("ConnectionMemory"))
}
