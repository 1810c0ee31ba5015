package command

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/memory"
	"endivespring/internal/upstream"
	"endivespring/internal/verdict"
)

const (
	defaultGCPercent = 100      // default of the setting gcPercent
	testMemoryMB     = 184      // memory of the smallest VM of a router
	testAnswers      = 16 << 20 // bytes for answers that are read at the same time
	testSenders      = 9        // slots of an upstream
	testLoadTime     = 3 * time.Second
	sampleTime       = 5 * time.Millisecond
	megabyte         = 1 << 20
	endlessChunk     = "400\r\n" + "%s" + "\r\n"
	endlessHeader    = "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": id\r\n"
)

// endlessUpstream answers every request with a head and then the same bytes until its
// connection is closed.
func endlessUpstream(t *testing.T, head, repeated string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
					return
				}
				_, err := connection.Write([]byte(head))
				for err == nil {
					_, err = connection.Write(block)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// peakMemory samples the memory that this process has got from the system until the context
// ends, and returns the most, in bytes.
func peakMemory(ctx context.Context) uint64 {
	ticker := time.NewTicker(sampleTime)
	defer ticker.Stop()
	peak := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return peak
		case <-ticker.C:
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.Sys-m.HeapReleased)
		}
	}
}

// Guards against a router that runs out of memory, and takes all requests on its VM with it,
// because an upstream sends bodies without end: the budget of answers bounds what is read at
// the same time, but not what earlier answers have left behind.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	defer debug.SetMemoryLimit(math.MaxInt64)
	for name, c := range map[string]struct{ head, repeated string }{
		"chunks":              {endlessHeader + "Transfer-Encoding: chunked\r\n\r\n", strings.Replace(endlessChunk, "%s", strings.Repeat("y", 0x400), 1)},
		"body without length": {endlessHeader + "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			debug.SetMemoryLimit(math.MaxInt64)
			limitMemory(testMemoryMB, defaultGCPercent)
			debug.FreeOSMemory()
			address := endlessUpstream(t, c.head, c.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), testLoadTime)
			defer cancel()
			now, answers := clock.NewMonotonic(), memory.NewBudget(testAnswers)
			var senders sync.WaitGroup
			for range testSenders {
				senders.Go(func() {
					s := upstream.NewSender(now, event.NewLog(io.Discard, "test"), 64<<20, answers, upstream.NativeDialect{})
					defer s.Close()
					for ctx.Err() == nil {
						until := now.Now().Add(time.Minute)
						run := executor.Run{Upstream: fleet.Upstream{Address: address}, Call: call.Call{RequestID: "id", Deadline: until}, Deadline: until, Fence: until}
						assert.Check(t, s.Run(ctx, &run).Answer.Verdict == verdict.MayHaveRun)
					}
				})
			}
			peak := peakMemory(ctx)
			senders.Wait()
			assert.Assert(t, peak < testMemoryMB*megabyte, "%d MB were used", peak/megabyte)
			t.Logf("%d MB at most", peak/megabyte)
		})
	}
}
