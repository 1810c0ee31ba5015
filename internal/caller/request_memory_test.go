package caller

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/memory"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// Guards against a request that is called a bad one because there was no memory for it.
func TestRequestWithoutMemoryIsOverload(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	requests := ring.New[*Request]("requests", 1, ring.Refuse)
	server := NewServer(testClock, requests, 1<<20, func(*call.Answer, time.Duration) {})
	go func() { _ = server.App().Listener(NewListener(listener, newTestMemory(memory.NewBudget(1<<10)))) }()
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
