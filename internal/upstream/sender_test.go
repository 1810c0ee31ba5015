package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const testBody = 1 << 10 // largest answer body in tests

// recorder counts events.
type recorder map[*event.Definition]int

func (r recorder) Record(d *event.Definition, _ ...event.Field) { r[d]++ }

// script is what a fake upstream does with one connection: for each request it
// writes the next entry. An entry "close" closes, "hold" writes nothing.
type script []string

// fake is an upstream that follows scripts, one for each connection in turn.
type fake struct {
	t        *testing.T
	listener net.Listener
	requests chan *http.Request
	idle     chan struct{}
}

func newFake(t *testing.T, scripts ...script) *fake {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fake{t: t, listener: listener, requests: make(chan *http.Request, 16), idle: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, s := range scripts {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go f.follow(connection, s)
		}
	}()
	return f
}

func (f *fake) follow(connection net.Conn, s script) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for _, text := range s {
		if text == "close" {
			_ = connection.Close()
			f.idle <- struct{}{}
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.requests <- request
		if text != "hold" {
			_, _ = connection.Write([]byte(text))
			if strings.Contains(text, "#end") {
				return
			}
		}
		f.idle <- struct{}{}
	}
	_, _ = reader.ReadByte()
}

// reply returns a whole answer.
func reply(id, body string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + HeaderRequestID + ": " + id + "\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n" + body
}

func newRun(id, address string, left time.Duration) *executor.Run {
	now := testClock.Now()
	return &executor.Run{
		ID: 1, Upstream: fleet.Upstream{Name: "u", Address: address}, Deadline: now.Add(left), Fence: now.Add(left),
		Call: call.Call{RequestID: id, Service: "s", Operation: "o", Body: []byte("{}"), Deadline: now.Add(left)},
	}
}

var testClock = clock.NewMonotonic()

func newSender(t *testing.T) (*Sender, recorder) {
	events := recorder{}
	s := NewSender(testClock, events, testBody, OwnDialect{})
	t.Cleanup(s.Close)
	return s, events
}

// TestVerdictOfBytes states the verdict for what an upstream may write, and
// whether its connection may carry the next request.
func TestVerdictOfBytes(t *testing.T) {
	checksum := HeaderChecksum + ": " + strconv.FormatUint(xxhash.Sum64String("whole"), 16)
	header := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id\r\n"
	for name, c := range map[string]struct {
		bytes   string
		verdict verdict.Verdict
		reason  verdict.Reason
		kept    bool
	}{
		"whole":                     {reply("id", "whole"), verdict.Ran, "", true},
		"whole with checksum":       {reply("id", "whole", checksum), verdict.Ran, "", true},
		"empty body":                {reply("id", ""), verdict.Ran, "", true},
		"no content":                {"HTTP/1.1 204 No Content\r\n" + HeaderRequestID + ": id\r\n\r\n", verdict.Ran, "", true},
		"chunked":                   {header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", verdict.Ran, "", true},
		"after an interim answer":   {"HTTP/1.1 103 Early Hints\r\n\r\n" + reply("id", "whole"), verdict.Ran, "", true},
		"closing":                   {reply("id", "whole", "Connection: close"), verdict.Ran, "", false},
		"other checksum":            {reply("id", "other", checksum), verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"crossed":                   {reply("another", "whole"), verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"no id":                     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"no length":                 {header + "\r\nwhole#end", verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"cut body":                  {header + "Content-Length: 50\r\n\r\nwhole#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"cut chunks":                {header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwho#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"no last chunk":             {header + "Transfer-Encoding: chunked\r\n\r\n4\r\n#end\r\n", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"cut header":                {"HTTP/1.1 200 #end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"not HTTP":                  {"good evening\r\n\r\n#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"too large":                 {reply("id", strings.Repeat("x", testBody+1)), verdict.MayHaveRun, verdict.ReasonBodyTooLarge, false},
		"shed":                      {reply("id", "", HeaderRan+": "+RanNo), verdict.NotRun, verdict.ReasonShed, true},
		"fenced":                    {strings.Replace(reply("id", "", HeaderRan+": "+RanNo), "200 OK", "412 Stale", 1), verdict.NotRun, verdict.ReasonFenced, true},
		"refusal of another":        {reply("another", "", HeaderRan+": "+RanNo), verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"cut refusal":               {header + HeaderRan + ": no\r\nContent-Length: 9\r\n\r\n#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"given up in the middle":    {reply("id", "", HeaderRan+": "+RanUnknown), verdict.MayHaveRun, verdict.ReasonDeadline, true},
		"answered twice":            {reply("id", "whole") + reply("id", "whole"), verdict.Ran, "", false},
		"interim answers only":      {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9), verdict.MayHaveRun, verdict.ReasonConnection, false},
		"server error, whole":       {strings.Replace(reply("id", "whole"), "200 OK", "500 Oops", 1), verdict.Ran, "", true},
		"nothing before the close":  {"#end"[:0] + "close", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"silence till the deadline": {"hold", verdict.MayHaveRun, verdict.ReasonDeadline, false},
	} {
		t.Run(name, func(t *testing.T) {
			first := script{c.bytes, reply("next", "first connection")}
			if c.bytes == "close" {
				first = script{"\x00#end", "close"}
			}
			f := newFake(t, first, script{reply("next", "second connection")})
			s, events := newSender(t)
			left := time.Minute
			if c.bytes == "hold" {
				left = 500 * time.Millisecond
			}
			out := s.Run(context.Background(), newRun("id", f.listener.Addr().String(), left))
			assert.Equal(t, out.Answer.Verdict, c.verdict)
			assert.Equal(t, out.Answer.Reason, c.reason)
			if c.verdict != verdict.Ran {
				assert.Equal(t, len(out.Answer.Body), 0)
			}
			assert.Equal(t, events[event.ConnectionRetired] > 0, c.verdict == verdict.MayHaveRun && !c.kept)
			next := s.Run(context.Background(), newRun("next", f.listener.Addr().String(), time.Minute))
			assert.Equal(t, next.Answer.Verdict, verdict.Ran)
			want := "second connection"
			if c.kept {
				want = "first connection"
			}
			assert.Equal(t, string(next.Answer.Body), want)
		})
	}
}

// TestDuplicateOnIdleConnection checks that stray bytes and an end of stream
// on a connection at rest are seen before the next request is written.
func TestDuplicateOnIdleConnection(t *testing.T) {
	for name, rest := range map[string]script{"duplicate": {reply("a", "whole") + reply("a", "whole")}, "closed": {reply("a", "whole"), "close"}} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t, rest, script{reply("b", "second")})
			s, _ := newSender(t)
			address := f.listener.Addr().String()
			assert.Equal(t, s.Run(context.Background(), newRun("a", address, time.Minute)).Answer.Verdict, verdict.Ran)
			for range rest {
				<-f.idle
			}
			out := s.Run(context.Background(), newRun("b", address, time.Minute))
			assert.Equal(t, out.Answer.Verdict, verdict.Ran)
			assert.Equal(t, string(out.Answer.Body), "second")
			assert.Equal(t, len(f.requests), 2)
		})
	}
}

// TestNeverWrittenIsNotRun checks the proofs of NotRun that need no answer.
func TestNeverWrittenIsNotRun(t *testing.T) {
	f := newFake(t, script{reply("id", "whole")})
	address := f.listener.Addr().String()
	expired := newRun("id", address, time.Minute)
	expired.Fence = testClock.Now()
	late := newRun("id", address, -time.Millisecond)
	refused := newRun("id", "127.0.0.1:1", time.Minute)
	for _, c := range []struct {
		run    *executor.Run
		reason verdict.Reason
	}{{expired, verdict.ReasonLeaseExpired}, {late, verdict.ReasonDeadline}, {refused, verdict.ReasonUpstreamGone}} {
		s, _ := newSender(t)
		out := s.Run(context.Background(), c.run)
		assert.Equal(t, out.Answer.Verdict, verdict.NotRun)
		assert.Equal(t, out.Answer.Reason, c.reason)
	}
	assert.Equal(t, len(f.requests), 0)
}

// steppingClock moves on at each reading, like a process that pauses.
type steppingClock struct {
	now  clock.Instant
	step time.Duration
}

func (c *steppingClock) Now() clock.Instant {
	c.now = c.now.Add(c.step)
	return c.now
}

// TestFenceIsReadRightBeforeTheWrite lets the lease end at each reading of the
// clock in turn: nothing is written after its end.
func TestFenceIsReadRightBeforeTheWrite(t *testing.T) {
	for readings := 1; readings <= 8; readings++ {
		f := newFake(t, script{reply("id", "whole")})
		paused := &steppingClock{now: clock.Instant(time.Hour), step: time.Second}
		s := NewSender(paused, recorder{}, testBody, OwnDialect{})
		run := newRun("id", f.listener.Addr().String(), 0)
		run.Deadline = paused.now.Add(time.Minute)
		run.Call.Deadline, run.Fence = run.Deadline, paused.now.Add(time.Duration(readings)*time.Second)
		out := s.Run(context.Background(), run)
		written := len(f.requests) > 0
		assert.Equal(t, out.Answer.Verdict == verdict.NotRun, !written, "readings %d: %v", readings, out.Answer)
		if written {
			assert.Assert(t, readings > 4, "written although the lease ended at reading %d", readings)
		}
		s.Close()
	}
}

// TestCancelEndsTheWait checks that a cancelled run on a silent connection
// frees its sender, and that the connection is not used again.
func TestCancelEndsTheWait(t *testing.T) {
	f := newFake(t, script{"hold", reply("b", "first")}, script{reply("b", "second")})
	s, events := newSender(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-f.idle
		cancel()
	}()
	out := s.Run(ctx, newRun("a", f.listener.Addr().String(), 30*time.Second))
	assert.Equal(t, out.Answer.Verdict, verdict.MayHaveRun)
	assert.Equal(t, out.Answer.Reason, verdict.ReasonCancelled)
	assert.Equal(t, events[event.ConnectionRetired], 1)
	out = s.Run(context.Background(), newRun("b", f.listener.Addr().String(), time.Minute))
	assert.Equal(t, string(out.Answer.Body), "second")
}

// TestCancelledConnectionIsNotReused checks that a cancellation that comes with
// the answer does not shorten the next run.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	f := newFake(t, script{reply("a", "first"), reply("b", "first")}, script{reply("b", "second")})
	s, _ := newSender(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	out := s.Run(ctx, newRun("a", f.listener.Addr().String(), time.Minute))
	assert.Equal(t, out.Answer.Verdict, verdict.Ran)
	out = s.Run(context.Background(), newRun("b", f.listener.Addr().String(), time.Minute))
	assert.Equal(t, string(out.Answer.Body), "second")
}

// TestDeadlineOfTheLastRunIsNotKept checks that a healthy connection carries a
// run that comes after the last one's deadline.
func TestDeadlineOfTheLastRunIsNotKept(t *testing.T) {
	f := newFake(t, script{reply("a", "first"), reply("b", "first")}, script{reply("b", "second")})
	s, _ := newSender(t)
	run := newRun("a", f.listener.Addr().String(), 100*time.Millisecond)
	assert.Equal(t, s.Run(context.Background(), run).Answer.Verdict, verdict.Ran)
	time.Sleep(run.Deadline.Sub(testClock.Now()) + 2*deadlineGrace)
	out := s.Run(context.Background(), newRun("b", f.listener.Addr().String(), time.Minute))
	assert.Equal(t, string(out.Answer.Body), "first")
}

// TestPartlyWrittenMayHaveRun lets the upstream close while a large request is
// being written.
func TestPartlyWrittenMayHaveRun(t *testing.T) {
	f := newFake(t, script{"close"})
	s, _ := newSender(t)
	run := newRun("id", f.listener.Addr().String(), time.Minute)
	run.Call.Body = make([]byte, 64<<20)
	out := s.Run(context.Background(), run)
	assert.Equal(t, out.Answer.Verdict, verdict.MayHaveRun)
	assert.Equal(t, out.Answer.Reason, verdict.ReasonConnection)
}

// TestRequestHeaders checks what an upstream that checks grants relies on.
func TestRequestHeaders(t *testing.T) {
	f := newFake(t, script{reply("id", "whole")})
	s, _ := newSender(t)
	run := newRun("id", f.listener.Addr().String(), time.Minute)
	run.Call.Key, run.Call.Shard, run.Epoch = "lane", 7, 9
	before := time.Now()
	assert.Equal(t, s.Run(context.Background(), run).Answer.Verdict, verdict.Ran)
	request := <-f.requests
	for header, want := range map[string]string{HeaderRequestID: "id", HeaderKey: "lane", HeaderShard: "7", HeaderEpoch: "9"} {
		assert.Equal(t, request.Header.Get(header), want)
	}
	left, err := strconv.Atoi(request.Header.Get(HeaderDeadline))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 60000, fmt.Sprint(left))
	end, err := strconv.ParseInt(request.Header.Get(HeaderGrantEnd), 10, 64)
	assert.NilError(t, err)
	assert.Assert(t, time.Unix(0, end).After(before) && !time.Unix(0, end).After(time.Now().Add(time.Minute)))
}
