package cases

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// newRequestID returns an ID that no other request of the case has.
func newRequestID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastRequest.Add(1)) }

// answer is what a client got for one attempt.
type answer struct {
	id        string
	status    int
	signature string
	body      string
	err       error
	sent      time.Time
	received  time.Time
}

// clientOf sends requests to the outbound address of a machine.
type clientOf struct {
	machine *machine
	http    *http.Client
}

func newClient(m *machine, keepAlive bool) *clientOf {
	dialer := &net.Dialer{Timeout: time.Second}
	return &clientOf{machine: m, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: !keepAlive, DisableCompression: true, MaxIdleConnsPerHost: 64,
	}}}
}

// send sends one attempt of a request. key is below 0 for a request without one.
func (c *clientOf) send(method, host, path string, key int, body []byte, limit time.Duration) answer {
	a := answer{id: newRequestID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.machine.address(portOutbound)+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("X-Endivespring-Request-Id", a.id)
	request.Header.Set("X-Endivespring-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if key >= 0 {
		request.Header.Set("X-Endivespring-Shard-Key", strconv.Itoa(key))
	}
	response, err := c.http.Do(request)
	if err != nil {
		a.err, a.received = err, time.Now()
		c.log(&a, key)
		return a
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.status, a.signature, a.body, a.err, a.received = response.StatusCode, response.Header.Get("X-Endivespring-Server-Signature"), string(data), err, time.Now()
	c.log(&a, key)
	return a
}

func (c *clientOf) log(a *answer, key int) {
	if a.err != nil {
		c.machine.fleet.record.add("client at %s: request %s key %d, sent at %.3f -> no answer (%v)", c.machine.name, a.id, key, a.sent.Sub(c.machine.fleet.record.start).Seconds(), a.err)
		return
	}
	c.machine.fleet.record.add("client at %s: request %s key %d, sent at %.3f -> %d, signature %q", c.machine.name, a.id, key, a.sent.Sub(c.machine.fleet.record.start).Seconds(), a.status, a.signature)
}
