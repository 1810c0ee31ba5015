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
	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

const testBody = 1 << 10 // limit on response bodies, in bytes

// recorder counts events.
type recorder map[*event.Definition]int

func (r recorder) Record(d *event.Definition, _ ...event.Field) { r[d]++ }

// script is what a fake upstream does on one connection: it answers each request
// with the next entry. "close" closes the connection, "hold" writes nothing, and
// an entry that contains "#end" is followed by a close.
type script []string

// fakeUpstream is an upstream that runs one script for each accepted connection. idle is
// signalled after each entry.
type fakeUpstream struct {
	t        *testing.T
	listener net.Listener
	requests chan *http.Request
	idle     chan struct{}
}

func newFakeUpstream(t *testing.T, scripts ...script) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeUpstream{t: t, listener: listener, requests: make(chan *http.Request, 16), idle: make(chan struct{}, 16)}
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

func (f *fakeUpstream) follow(connection net.Conn, s script) {
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

// reply returns a complete response.
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
	s := NewSender(testClock, events, testBody, memory.NewBudget(testBody), NativeDialect{})
	t.Cleanup(s.Close)
	return s, events
}

// TestVerdictOfResponse checks the verdict for each kind of response an upstream may
// write, and whether the connection is reused for the next request.
func TestVerdictOfResponse(t *testing.T) {
	checksum := HeaderChecksum + ": " + strconv.FormatUint(xxhash.Sum64String("whole"), 16)
	header := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id\r\n"
	for name, c := range map[string]struct {
		bytes   string
		verdict verdict.Verdict
		reason  verdict.Reason
		reused  bool
	}{
		"whole":                          {reply("id", "whole"), verdict.Ran, "", true},
		"complete with checksum":         {reply("id", "whole", checksum), verdict.Ran, "", true},
		"empty body":                     {reply("id", ""), verdict.Ran, "", true},
		"no content":                     {"HTTP/1.1 204 No Content\r\n" + HeaderRequestID + ": id\r\n\r\n", verdict.Ran, "", true},
		"chunked":                        {header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", verdict.Ran, "", true},
		"after an interim response":      {"HTTP/1.1 103 Early Hints\r\n\r\n" + reply("id", "whole"), verdict.Ran, "", true},
		"closing":                        {reply("id", "whole", "Connection: close"), verdict.Ran, "", false},
		"other checksum":                 {reply("id", "other", checksum), verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"crossed":                        {reply("another", "whole"), verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"no id":                          {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"no length":                      {header + "\r\nwhole#end", verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"truncated body":                 {header + "Content-Length: 50\r\n\r\nwhole#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"truncated chunks":               {header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwho#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"no last chunk":                  {header + "Transfer-Encoding: chunked\r\n\r\n4\r\n#end\r\n", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"truncated header":               {"HTTP/1.1 200 #end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"not HTTP":                       {"good evening\r\n\r\n#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"too large":                      {reply("id", strings.Repeat("x", testBody+1)), verdict.MayHaveRun, verdict.ReasonBodyTooLarge, false},
		"shed":                           {reply("id", "", HeaderRan+": "+RanNo), verdict.NotRun, verdict.ReasonShed, true},
		"fenced":                         {strings.Replace(reply("id", "", HeaderRan+": "+RanNo), "200 OK", "412 Stale", 1), verdict.NotRun, verdict.ReasonFenced, true},
		"refusal of another request":     {reply("another", "", HeaderRan+": "+RanNo), verdict.MayHaveRun, verdict.ReasonTruncated, false},
		"truncated refusal":              {header + HeaderRan + ": no\r\nContent-Length: 9\r\n\r\n#end", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"cancelled while running":        {reply("id", "", HeaderRan+": "+RanUnknown), verdict.MayHaveRun, verdict.ReasonDeadline, true},
		"duplicate response":             {reply("id", "whole") + reply("id", "whole"), verdict.Ran, "", false},
		"interim responses only":         {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9), verdict.MayHaveRun, verdict.ReasonConnection, false},
		"complete server error":          {strings.Replace(reply("id", "whole"), "200 OK", "500 Oops", 1), verdict.Ran, "", true},
		"closed without a response":      {"#end"[:0] + "close", verdict.MayHaveRun, verdict.ReasonConnection, false},
		"no response until the deadline": {"hold", verdict.MayHaveRun, verdict.ReasonDeadline, false},
	} {
		t.Run(name, func(t *testing.T) {
			first := script{c.bytes, reply("next", "first connection")}
			if c.bytes == "close" {
				first = script{"\x00#end", "close"}
			}
			f := newFakeUpstream(t, first, script{reply("next", "second connection")})
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
			assert.Equal(t, events[event.ConnectionRetired] > 0, c.verdict == verdict.MayHaveRun && !c.reused)
			next := s.Run(context.Background(), newRun("next", f.listener.Addr().String(), time.Minute))
			assert.Equal(t, next.Answer.Verdict, verdict.Ran)
			want := "second connection"
			if c.reused {
				want = "first connection"
			}
			assert.Equal(t, string(next.Answer.Body), want)
		})
	}
}

// TestDuplicateOnIdleConnection checks that unread bytes or an end of stream on
// an idle connection are detected before the next request is written to it.
func TestDuplicateOnIdleConnection(t *testing.T) {
	for name, rest := range map[string]script{"duplicate": {reply("a", "whole") + reply("a", "whole")}, "closed": {reply("a", "whole"), "close"}} {
		t.Run(name, func(t *testing.T) {
			f := newFakeUpstream(t, rest, script{reply("b", "second")})
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

// TestNeverWrittenIsNotRun checks that a run that was never written ends as
// not-run: an expired lease, a past deadline, a refused connection.
func TestNeverWrittenIsNotRun(t *testing.T) {
	f := newFakeUpstream(t, script{reply("id", "whole")})
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

// steppingClock advances at each reading, as if the process had been paused.
type steppingClock struct {
	now  clock.Instant
	step time.Duration
}

func (c *steppingClock) Now() clock.Instant {
	c.now = c.now.Add(c.step)
	return c.now
}

// TestFenceIsReadRightBeforeTheWrite lets the lease expire (Run.Fence, the expiry of
// the lease) at each reading of the clock in turn and checks that no request is
// written after that.
func TestFenceIsReadRightBeforeTheWrite(t *testing.T) {
	for readings := 1; readings <= 8; readings++ {
		f := newFakeUpstream(t, script{reply("id", "whole")})
		paused := &steppingClock{now: clock.Instant(time.Hour), step: time.Second}
		s := NewSender(paused, recorder{}, testBody, memory.NewBudget(testBody), NativeDialect{})
		run := newRun("id", f.listener.Addr().String(), 0)
		run.Deadline = paused.now.Add(time.Minute)
		run.Call.Deadline, run.Fence = run.Deadline, paused.now.Add(time.Duration(readings)*time.Second)
		out := s.Run(context.Background(), run)
		written := len(f.requests) > 0
		assert.Equal(t, out.Answer.Verdict == verdict.NotRun, !written, "readings %d: %v", readings, out.Answer)
		if written {
			assert.Assert(t, readings > 4, "request written although the lease expired at reading %d", readings)
		}
		s.Close()
	}
}

// TestCancelUnblocksTheSender checks that cancelling a run on an unresponsive connection
// unblocks its sender, and that the connection is not reused.
func TestCancelUnblocksTheSender(t *testing.T) {
	f := newFakeUpstream(t, script{"hold", reply("b", "first")}, script{reply("b", "second")})
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

// TestCancelledConnectionIsNotReused checks that a cancellation that coincides
// with the response does not leave its short deadline to the next run.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	f := newFakeUpstream(t, script{reply("a", "first"), reply("b", "first")}, script{reply("b", "second")})
	s, _ := newSender(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	out := s.Run(ctx, newRun("a", f.listener.Addr().String(), time.Minute))
	assert.Equal(t, out.Answer.Verdict, verdict.Ran)
	out = s.Run(context.Background(), newRun("b", f.listener.Addr().String(), time.Minute))
	assert.Equal(t, string(out.Answer.Body), "second")
}

// TestDeadlineOfTheLastRunIsNotKept checks that a healthy connection is reused
// after the deadline of the previous run has passed.
func TestDeadlineOfTheLastRunIsNotKept(t *testing.T) {
	f := newFakeUpstream(t, script{reply("a", "first"), reply("b", "first")}, script{reply("b", "second")})
	s, _ := newSender(t)
	run := newRun("a", f.listener.Addr().String(), 100*time.Millisecond)
	assert.Equal(t, s.Run(context.Background(), run).Answer.Verdict, verdict.Ran)
	time.Sleep(run.Deadline.Sub(testClock.Now()) + 2*deadlineGrace)
	out := s.Run(context.Background(), newRun("b", f.listener.Addr().String(), time.Minute))
	assert.Equal(t, string(out.Answer.Body), "first")
}

// TestPartlyWrittenMayHaveRun checks the verdict if the upstream closes the
// connection while a large request is being written.
func TestPartlyWrittenMayHaveRun(t *testing.T) {
	f := newFakeUpstream(t, script{"close"})
	s, _ := newSender(t)
	run := newRun("id", f.listener.Addr().String(), time.Minute)
	run.Call.Body = make([]byte, 64<<20)
	out := s.Run(context.Background(), run)
	assert.Equal(t, out.Answer.Verdict, verdict.MayHaveRun)
	assert.Equal(t, out.Answer.Reason, verdict.ReasonConnection)
}

// TestRequestHeaders checks the headers by which an upstream verifies its grant.
func TestRequestHeaders(t *testing.T) {
	f := newFakeUpstream(t, script{reply("id", "whole")})
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
