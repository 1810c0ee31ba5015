package httphead

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// serve answers the requests on each connection with the texts in turn, and closes it after the
// last one. After an empty text it waits for the client to close.
func serve(t *testing.T, texts ...string) (address string, connections *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = new(atomic.Int32)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			reader := bufio.NewReader(connection)
			for _, text := range texts {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, text)
				if text == "" {
					_, _ = reader.ReadByte()
				}
			}
			_ = connection.Close()
		}
	}()
	return listener.Addr().String(), connections
}

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		Transport: Transport{}, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 100,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func get(client *fasthttp.Client, method, address string) (status int, body string, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + "/")
	err = client.DoTimeout(request, response, 500*time.Millisecond)
	return response.StatusCode(), string(response.Body()), err
}

func TestTransportReadsResponsesOnOneConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	address, connections := serve(t, ok+"Content-Length: 5\r\n\r\nwhole", ok+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-End: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"+ok+"Content-Length: 5\r\n\r\nwhole", ok+"Content-Length: 5\r\n\r\n", ok+"\r\nwhole")
	client := newClient()
	for i, want := range []string{"whole", "whole", "", "whole", "", "whole"} {
		method := http.MethodGet
		if i == 4 {
			method = http.MethodHead
		}
		_, body, err := get(client, method, address)
		assert.NilError(t, err, "response %d", i)
		assert.Equal(t, body, want, "response %d", i)
	}
	assert.Equal(t, connections.Load(), int32(1))
}

func TestTransportRejectsBrokenResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, want := range map[string]error{
		"":                                  fasthttp.ErrTimeout,
		"HTTP/1.1 000 OK\r\n\r\n":           ErrStatus,
		ok + "X Field: 1\r\n\r\n":           ErrFieldName,
		ok + "Content-Length : 3\r\n\r\nab": ErrFieldName,
		ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Field: 1\r\n\r\n":    ErrFieldName,
		ok + "Content-Length: 200\r\n\r\n" + strings.Repeat("x", 200):       fasthttp.ErrBodyTooLarge,
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 4) + ok + "\r\n": ErrInterim,
	} {
		address, connections := serve(t, text, ok+"Content-Length: 0\r\n\r\n")
		client := newClient()
		_, _, err := get(client, http.MethodGet, address)
		assert.Check(t, errors.Is(err, want), "%q: %v", text, err)
		_, _, _ = get(client, http.MethodGet, address)
		assert.Check(t, connections.Load() == 2, "%q: the connection was used again", text)
	}
}

func TestTransportRejectsCutResponses(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-End: 1\r\n\r\n"
	for cut := range len(whole) {
		address, _ := serve(t, whole[:cut])
		_, _, err := get(newClient(), http.MethodGet, address)
		assert.Check(t, err != nil, "%q", whole[:cut])
	}
}
