package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
)

// rangeServer accepts connections and hands each request, with the number of its
// connection, to a handler that writes the answer.
func rangeServer(t *testing.T, handle func(connection int, c net.Conn, path string, body RangeBody)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					data, _ := io.ReadAll(request.Body)
					body := RangeBody{}
					_ = json.Unmarshal(data, &body)
					handle(number, c, request.URL.Path, body)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func answerRange(c net.Conn, status int, handover string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Result\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, HeaderHandover, handover)
}

func rangeRequest(address string, number uint64, kind executor.RangeRequestKind, now clock.Instant) *executor.RangeRequest {
	return &executor.RangeRequest{
		Number: number, Kind: kind, Upstream: fleet.Upstream{Name: "u", Address: address, Boot: "1"}, Last: 10, Epoch: 3, Handover: "before",
		Until: now.Add(3 * time.Second), MaxHold: 10 * time.Second,
	}
}

// Grants share a connection, and the lease is what is left when the grant is written.
func TestGrantsShareAConnection(t *testing.T) {
	var bodies []RangeBody
	var connections []int
	address := rangeServer(t, func(connection int, c net.Conn, path string, body RangeBody) {
		assert.Check(t, path == "/grant")
		bodies, connections = append(bodies, body), append(connections, connection)
		answerRange(c, 200, "")
	})
	now := clock.NewMonotonic()
	client := NewRangeClient(now, NativeDialect{})
	defer client.Close()
	for number := range uint64(3) {
		out := client.Do(context.Background(), rangeRequest(address, number, executor.GrantRange, now.Now()))
		assert.DeepEqual(t, out, executor.RangeResponse{Number: number, Result: executor.RangeApplied, Status: 200})
	}
	assert.DeepEqual(t, connections, []int{1, 1, 1})
	assert.Equal(t, bodies[0].Handover, "before")
	assert.Assert(t, bodies[0].HoldMs > 2000 && bodies[0].HoldMs <= 2550, "%d ms", bodies[0].HoldMs)
}

// An upstream that answers a release twice must not end the protection of another range:
// the second answer would be taken for that of the next release.
func TestLateCopyOfAReleaseAnswerIsNotTaken(t *testing.T) {
	address := rangeServer(t, func(_ int, c net.Conn, _ string, body RangeBody) {
		if body.Epoch == 3 {
			answerRange(c, 200, "first")
			time.Sleep(20 * time.Millisecond)
			answerRange(c, 200, "first")
			return
		}
		time.Sleep(100 * time.Millisecond) // work in progress
		answerRange(c, 200, "second")
	})
	now := clock.NewMonotonic()
	client := NewRangeClient(now, NativeDialect{})
	defer client.Close()
	assert.Equal(t, client.Do(context.Background(), rangeRequest(address, 1, executor.ReleaseRange, now.Now())).Handover, "first")
	second := rangeRequest(address, 2, executor.ReleaseRange, now.Now())
	second.Epoch = 4
	assert.Equal(t, client.Do(context.Background(), second).Handover, "second")
}

// Without an answer a request may have been applied; with a refusal, or if nothing
// listens, it was not.
func TestRangeResults(t *testing.T) {
	address := rangeServer(t, func(_ int, c net.Conn, _ string, body RangeBody) {
		switch body.Epoch {
		case 409, 400, 503:
			answerRange(c, int(body.Epoch), "")
		case 1:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbroken")
			_ = c.Close()
		}
	})
	now := clock.NewMonotonic()
	client := NewRangeClient(now, NativeDialect{})
	defer client.Close()
	want := map[fleet.Epoch]executor.RangeResult{
		409: executor.RangeFenced, 400: executor.RangeRefused, 503: executor.RangeUnanswered, 1: executor.RangeUnanswered, 0: executor.RangeUnanswered,
	}
	for epoch, result := range want {
		request := rangeRequest(address, 1, executor.GrantRange, now.Now())
		request.Epoch = epoch
		started := time.Now()
		assert.Equal(t, client.Do(context.Background(), request).Result, result, "epoch %d", epoch)
		assert.Assert(t, time.Since(started) < 2*executor.RangeRequestTimeout)
	}
	expired := rangeRequest(address, 1, executor.GrantRange, now.Now())
	expired.Until = now.Now().Add(executor.RangeRequestTimeout)
	assert.Equal(t, client.Do(context.Background(), expired).Result, executor.RangeNotSent, "too little time for a lease")

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	out := client.Do(context.Background(), rangeRequest(closed.Addr().String(), 1, executor.GrantRange, now.Now()))
	assert.DeepEqual(t, out, executor.RangeResponse{Number: 1, Result: executor.RangeNotSent, Gone: true})
}
