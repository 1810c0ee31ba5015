package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

// The bytes come out in the order in which they went in, whatever their sizes.
func TestRequestBufferKeepsTheOrder(t *testing.T) {
	for _, sizes := range [][]int{{}, {10}, {largeWrite}, {10, largeWrite, 20, largeWrite + 1, largeWrite, 5}, {largeWrite, 3}} {
		b := &requestBuffer{copied: []byte("left"), large: [][]byte{{1}}, after: []int{2}}
		b.Reset()
		var want, got bytes.Buffer
		for i, size := range sizes {
			p := bytes.Repeat([]byte{byte('a' + i)}, size)
			want.Write(p)
			n, err := b.Write(p)
			assert.NilError(t, err)
			assert.Equal(t, n, size)
		}
		n, err := b.WriteTo(&got)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(want.Len()))
		assert.Assert(t, bytes.Equal(got.Bytes(), want.Bytes()))
	}
}

// Guards against a large body that is copied before it is sent, and kept by its sender.
func TestLargeBodyIsNotCopied(t *testing.T) {
	const size = 32 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	received := make(chan int64, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		received <- n
		w.Header().Set(HeaderRequestID, "id")
		w.Header().Set("Content-Length", strconv.Itoa(2))
		_, _ = io.WriteString(w, "ok")
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	s := NewSender(testClock, recorder{}, testBody, memory.NewBudget(testBody), NativeDialect{})
	defer s.Close()
	run := newRun("id", listener.Addr().String(), time.Minute)
	run.Call.Body = make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	out := s.Run(context.Background(), run)
	runtime.ReadMemStats(&after)
	assert.Equal(t, out.Answer.Verdict, verdict.Ran, "%v", out.Answer.Reason)
	assert.Equal(t, <-received, int64(size))
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < size/4, "%d bytes were allocated", after.TotalAlloc-before.TotalAlloc)
	assert.Equal(t, len(s.buffer.large), 0, "the sender keeps the body")
}
