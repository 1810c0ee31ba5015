package upstream

import (
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"endivespring/internal/executor"
	"endivespring/internal/memory"
)

// FuzzRangeAnswers reads arbitrary bytes as the answer to a release. Only a complete answer
// with a status of 2xx confirms it.
func FuzzRangeAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nEndivespring-Handover: h\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConnection("u", newMemoryConnection(string(data)), 0, memory.NewBudget(testBody))
		response := &fasthttp.Response{}
		if c.readAnswer(response, maxRangeBody) != nil {
			return
		}
		out := NativeDialect{}.DecodeRange(&executor.RangeRequest{Kind: executor.ReleaseRange}, response)
		if out.Result == executor.RangeApplied {
			assert.Assert(t, out.Status >= 200 && out.Status < 300 && bytes.Contains(data, []byte("\n")))
		}
		assert.Assert(t, len(out.Handover) <= maxHandover)
	})
}
