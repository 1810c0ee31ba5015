package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

// endlessUpstream answers a request with a head and then writes the same bytes until its
// connection is closed. It returns its address and the number of bytes written in the end.
func endlessUpstream(t *testing.T, head, repeated string) (address string, written chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written = make(chan int, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		total, block := 0, []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
		_, err = connection.Write([]byte(head))
		for err == nil && total < 1<<30 {
			var n int
			n, err = connection.Write(block)
			total += n
		}
		written <- total
	}()
	return listener.Addr().String(), written
}

// Guards against answers without end that are read until memory is used up, or until
// the request's deadline: head, body, chunks and trailers all have a limit, after which
// the connection is closed.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	const budget = 1 << 20
	ours := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"bytes that are no head":     {"", "x"},
		"empty lines":                {"", "\r\n"},
		"head":                       {ours, "X-More: x\r\n"},
		"line in the head":           {ours + "X-More: ", "x"},
		"interim heads":              {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without length":        {ours + "\r\n", "x"},
		"body longer than its limit": {ours + "Content-Length: 60000000\r\n\r\n", "x"},
		"chunks":                     {ours + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nchunk\r\n"},
		"large chunk":                {ours + "Transfer-Encoding: chunked\r\n\r\n3938700\r\n", "x"},
		"chunk extension":            {ours + "Transfer-Encoding: chunked\r\n\r\n5;a=", "x"},
		"trailers":                   {ours + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n"},
		"answers to other requests":  {"", reply("another", "whole")},
		"another request's body":     {"HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": another\r\nContent-Length: 60000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := endlessUpstream(t, c.head, c.repeated)
			answers := memory.NewBudget(budget)
			s := NewSender(testClock, recorder{}, 64<<20, answers, NativeDialect{})
			defer s.Close()
			begun := time.Now()
			out := s.Run(context.Background(), newRun("id", address, time.Minute))
			assert.Equal(t, out.Answer.Verdict, verdict.MayHaveRun)
			assert.Assert(t, time.Since(begun) < 20*time.Second, "not before the deadline")
			assert.Assert(t, s.connection == nil, "the connection must not be used again")
			select {
			case total := <-written: // what the sockets' buffers hold was written too
				assert.Assert(t, total < 2*budget+(16<<20), "%d bytes were taken", total)
			case <-time.After(20 * time.Second):
				t.Fatal("the connection was not closed")
			}
			assert.Equal(t, answers.Left(), budget, "memory is not given back")
		})
	}
}

// Guards against senders that together read more than the router's memory holds, and
// against ordinary answers that fail because another one has used it up.
func TestAnswersShareTheirMemory(t *testing.T) {
	answers := memory.NewBudget(1 << 20)
	f := newFakeUpstream(t, script{reply("id", strings.Repeat("x", 512<<10))}, script{reply("id", "whole")}, script{reply("id", strings.Repeat("x", 900<<10))})
	run := func() verdict.Reason {
		s := NewSender(testClock, recorder{}, 64<<20, answers, NativeDialect{})
		defer s.Close()
		return s.Run(context.Background(), newRun("id", f.listener.Addr().String(), time.Minute)).Answer.Reason
	}
	assert.Assert(t, answers.Take(800<<10))
	assert.Equal(t, run(), verdict.ReasonBodyTooLarge)
	assert.Equal(t, run(), verdict.ReasonNone)
	answers.Give(800 << 10)
	assert.Equal(t, run(), verdict.ReasonNone)
	assert.Equal(t, answers.Left(), 1<<20)
}

// Guards against a cancellation whose response has no end: it is read no further than its
// limit.
func TestEndlessAnswerToACancellation(t *testing.T) {
	address, written := endlessUpstream(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nchunk\r\n")
	NewCanceller().Cancel(address, "id")
	select {
	case total := <-written:
		assert.Assert(t, total < 16<<20, "%d bytes were taken", total)
	case <-time.After(20 * time.Second):
		t.Fatal("the connection was not closed")
	}
}
