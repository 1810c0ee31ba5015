package caller

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/gateway"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

const testMaxBody = 4096

// fakeGateway is a fake gateway duty behind a caller server: it answers each request
// with the request's body.
type fakeGateway struct {
	listener *fasthttputil.InmemoryListener
	mu       sync.Mutex
	taken    []gateway.Request
	observed map[string]int
}

func newFakeGateway(t *testing.T) *fakeGateway {
	t.Helper()
	e := &fakeGateway{listener: fasthttputil.NewInmemoryListener(), observed: map[string]int{}}
	requests := ring.New[*Request]("requests", 64, ring.Refuse)
	server := NewServer(testClock, requests, testMaxBody, e.observe)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.App().Listener(e.listener) }()
	go func() {
		for {
			request, err := requests.Take(ctx)
			if err != nil {
				return
			}
			e.mu.Lock()
			e.taken = append(e.taken, request.Request)
			e.mu.Unlock()
			request.Reply.Send(reply(&request.Request))
		}
	}()
	t.Cleanup(func() { cancel(); _ = server.App().Shutdown() })
	return e
}

func (e *fakeGateway) observe(answer *call.Answer, _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed[answer.Verdict.String()+" "+string(answer.Reason)]++
}

func reply(r *gateway.Request) call.Answer {
	if r.Service == "nothing" {
		return call.Answer{RequestID: r.ID, Verdict: verdict.NotRun, Reason: verdict.ReasonUnknownService}
	}
	return call.Answer{RequestID: r.ID, Verdict: verdict.Ran, Status: 201, ContentType: "text/x", Body: r.Body, Upstream: "u1", Epoch: 7}
}

func (e *fakeGateway) requests() []gateway.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]gateway.Request(nil), e.taken...)
}

// send writes raw bytes and reads one response.
func (e *fakeGateway) send(t *testing.T, raw string) *fasthttp.Response {
	t.Helper()
	connection, err := e.listener.Dial()
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	go func() { _, _ = connection.Write([]byte(raw)) }()
	response := &fasthttp.Response{}
	assert.NilError(t, response.Read(bufio.NewReader(connection)))
	return response
}

func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

// TestRefusedBeforeTheGateway sends malformed requests. Each is answered with 4xx
// and not-run in header and body, and none reaches the gateway.
func TestRefusedBeforeTheGateway(t *testing.T) {
	long := strings.Repeat("x", maxIDLength+1)
	for name, test := range map[string]struct {
		raw    string
		status int
		reason string
		id     string
	}{
		"body over the limit":    {post("/v1/s/o", "Endivespring-Request-Id: r1\r\n", strings.Repeat("b", testMaxBody+1)), 413, "body-too-large", "r1"},
		"oversize header":        {post("/v1/s/o", "X: "+strings.Repeat("h", readBufferBytes)+"\r\n", ""), 431, "bad-request", ""},
		"no such path":           {post("/v2/s/o", "", ""), 404, "unknown-service", ""},
		"no operation":           {post("/v1/s", "", ""), 404, "unknown-service", ""},
		"wrong method":           {strings.Replace(post("/v1/s/o", "", ""), "POST", "DELETE", 1), 405, "bad-request", ""},
		"attempt not a number":   {post("/v1/s/o", "Endivespring-Request-Id: r1\r\nEndivespring-Attempt: many\r\n", ""), 400, "bad-request", "r1"},
		"attempt zero":           {post("/v1/s/o", "Endivespring-Attempt: 0\r\n", ""), 400, "bad-request", ""},
		"timeout negative":       {post("/v1/s/o", "Endivespring-Timeout-Ms: -5\r\n", ""), 400, "bad-request", ""},
		"timeout overflows":      {post("/v1/s/o", "Endivespring-Timeout-Ms: 9223372036854775807\r\n", ""), 400, "bad-request", ""},
		"timeout not an integer": {post("/v1/s/o", "Endivespring-Timeout-Ms: 1.5\r\n", ""), 400, "bad-request", ""},
		"timeout too long":       {post("/v1/s/o", "Endivespring-Timeout-Ms: 3600001\r\n", ""), 400, "bad-request", ""},
		"id too long":            {post("/v1/s/o", "Endivespring-Request-Id: "+long+"\r\n", ""), 400, "bad-request", long},
		"key too long":           {post("/v1/s/o", "Endivespring-Key: "+long+"\r\n", ""), 400, "bad-request", ""},
		"id is not UTF-8":        {post("/v1/s/o", "Endivespring-Request-Id: a\xffb\r\n", ""), 400, "bad-request", ""},
		"key is not UTF-8":       {post("/v1/s/o", "Endivespring-Key: \xc0\r\n", ""), 400, "bad-request", ""},
		"service is not UTF-8":   {post("/v1/s\xff/o", "", ""), 400, "bad-request", ""},
		"not HTTP":               {"nonsense\r\n\r\n", 400, "bad-request", ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeGateway(t)
			response := e.send(t, test.raw)
			assert.Equal(t, response.StatusCode(), test.status, "%s", response.Body())
			assert.Equal(t, string(response.Header.Peek(HeaderVerdict)), "not-run")
			assert.Equal(t, string(response.Header.Peek(HeaderReason)), test.reason)
			var body ErrorBody
			assert.NilError(t, json.Unmarshal(response.Body(), &body))
			assert.Equal(t, body.Verdict, "not-run")
			assert.Equal(t, body.Reason, test.reason)
			if test.id != "" {
				assert.Equal(t, body.RequestID, test.id)
			}
			assert.Equal(t, len(e.requests()), 0)
			assert.Equal(t, e.observed["not-run "+test.reason], 1)
		})
	}
}

// TestRequestReachesGateway checks the request as the gateway receives it and the
// response to its answer.
func TestRequestReachesGateway(t *testing.T) {
	e := newFakeGateway(t)
	response := e.send(t, post("/v1/lanes/block", "Endivespring-Request-Id: r1\r\nEndivespring-Key: k/1\r\nEndivespring-Attempt: 2\r\nEndivespring-Timeout-Ms: 1500\r\n", "lane"))
	assert.Equal(t, response.StatusCode(), 201)
	assert.Equal(t, string(response.Body()), "lane")
	assert.Equal(t, string(response.Header.ContentType()), "text/x")
	for name, want := range map[string]string{HeaderVerdict: "ran", HeaderRequestID: "r1", HeaderUpstream: "u1", HeaderEpoch: "7", HeaderReason: ""} {
		assert.Equal(t, string(response.Header.Peek(name)), want, name)
	}
	response = e.send(t, post("/v1/nothing/o", "", ""))
	assert.Equal(t, response.StatusCode(), 404)
	assert.Equal(t, string(response.Header.Peek(HeaderVerdict)), "not-run")

	var packed bytes.Buffer
	zip := gzip.NewWriter(&packed)
	_, _ = zip.Write(make([]byte, 1<<20))
	assert.NilError(t, zip.Close())
	_ = e.send(t, post("/v1/s/o", "Content-Encoding: gzip\r\n", packed.String()))
	taken := e.requests()
	assert.Assert(t, taken[0].Received > 0)
	assert.DeepEqual(t, taken[0], gateway.Request{
		Received: taken[0].Received, ID: "r1", Service: "lanes", Operation: "block", Key: "k/1", Resend: true, Timeout: 1500 * time.Millisecond, Body: []byte("lane"),
	})
	assert.Assert(t, taken[1].ID != "" && taken[1].ID != taken[2].ID, "a request without an id gets one")
	assert.DeepEqual(t, taken[2].Body, packed.Bytes())
}

// TestTruncatedBodyIsNotSubmitted checks that a request whose connection closes in
// the middle of the body does not reach the gateway.
func TestTruncatedBodyIsNotSubmitted(t *testing.T) {
	e := newFakeGateway(t)
	connection, err := e.listener.Dial()
	assert.NilError(t, err)
	_, err = connection.Write([]byte("POST /v1/s/o HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"))
	assert.NilError(t, err)
	assert.NilError(t, connection.Close())
	_ = e.send(t, post("/v1/s/o", "Endivespring-Request-Id: whole\r\n", "whole"))
	taken := e.requests()
	assert.Equal(t, len(taken), 1)
	assert.Equal(t, taken[0].ID, "whole")
}

// TestStringsOutliveTheLibrarysBuffers sends many requests over few connections
// and compares them all at the end. A string that still pointed into a buffer
// reused by fiber would have changed by then.
func TestStringsOutliveTheLibrarysBuffers(t *testing.T) {
	e := newFakeGateway(t)
	const clients, each = 4, 200
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			client := &fasthttp.HostClient{Addr: "h", MaxConns: 1, Dial: func(string) (net.Conn, error) { return e.listener.Dial() }}
			for i := range each {
				request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				mark := fmt.Sprintf("%d-%04d", c, i)
				request.Header.SetMethod("POST")
				request.SetRequestURI("http://h/v1/s" + mark + "/o" + mark)
				request.Header.Set(HeaderRequestID, "r"+mark)
				request.Header.Set(HeaderKey, "k"+mark)
				request.SetBodyString("b" + mark)
				assert.Check(t, client.DoTimeout(request, response, 30*time.Second) == nil)
				assert.Check(t, string(response.Body()) == "b"+mark && string(response.Header.Peek(HeaderRequestID)) == "r"+mark)
				fasthttp.ReleaseRequest(request)
				fasthttp.ReleaseResponse(response)
			}
		})
	}
	group.Wait()
	taken := e.requests()
	assert.Equal(t, len(taken), clients*each)
	for _, r := range taken {
		mark := strings.TrimPrefix(r.ID, "r")
		assert.Equal(t, r.Service+r.Operation+r.Key+string(r.Body), "s"+mark+"o"+mark+"k"+mark+"b"+mark)
	}
}

func TestOverloadAndStop(t *testing.T) {
	requests := ring.New[*Request]("requests", 1, ring.Refuse)
	_ = requests.Put(context.Background(), &Request{})
	server := NewServer(testClock, requests, testMaxBody, func(*call.Answer, time.Duration) {})
	e := &fakeGateway{listener: fasthttputil.NewInmemoryListener()}
	go func() { _ = server.App().Listener(e.listener) }()
	defer func() { _ = server.App().Shutdown() }()
	server.Stop()
	response := e.send(t, post("/v1/s/o", "", ""))
	assert.Equal(t, response.StatusCode(), 503)
	assert.Equal(t, string(response.Header.Peek(HeaderReason)), "overloaded")
	assert.Assert(t, response.ConnectionClose())
}

// FuzzRead checks that no input on a connection makes the server panic. The ring
// is full, so that no request waits for an answer.
func FuzzRead(f *testing.F) {
	f.Add([]byte(post("/v1/s/o", "Endivespring-Attempt: 3\r\n", "body")))
	f.Add([]byte("POST /v1/s/o HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("GET /v1/%2F/%00 HTTP/1.0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		requests := ring.New[*Request]("requests", 64, ring.Refuse)
		server := NewServer(testClock, requests, testMaxBody, func(*call.Answer, time.Duration) {})
		for range requests.Capacity() {
			_ = requests.Put(context.Background(), &Request{})
		}
		server.App().Handler()
		_ = server.App().Server().ServeConn(&memoryConnection{in: bytes.NewReader(raw)})
	})
}
