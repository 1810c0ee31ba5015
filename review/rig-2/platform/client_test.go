package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// sentAt holds when clients sent their requests, by id.
var sentAt sync.Map

// sentBefore reports whether a client sent a request before a time.
func sentBefore(id string, t time.Time) bool {
	at, ok := sentAt.Load(id)
	return !ok || at.(time.Time).Before(t)
}

// request is one attempt of a client, on a connection of its own.
type request struct {
	method, host, path, body string
	headers                  map[string]string
	limit                    time.Duration
}

type answer struct {
	id        string
	status    int // 0 if the connection ended without an answer
	signature string
	body      string
	err       error
}

// send sends a request to the outbound address of a machine.
func send(rec *record, m *machine, r request) answer {
	id := fmt.Sprintf("%016x", lastRequest.Add(1)+0xa0000000)
	a := answer{id: id}
	sentAt.Store(id, time.Now())
	rec.note("client sends %s %s %s%s to %s %v", id, r.method, r.host, r.path, m.name, r.headers)
	defer func() { rec.note("client gets %s: status %d signature %q error %v", id, a.status, a.signature, a.err) }()
	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.limit + 100*time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Endivespring-Request-Id: %s\r\nX-Endivespring-Deadline-Ms: %d\r\n", r.method, r.path, r.host, id, r.limit.Milliseconds())
	for k, v := range r.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.signature, a.body, a.err = response.StatusCode, response.Header.Get("X-Endivespring-Server-Signature"), string(body), err
	return a
}

// order sends an order of the operator until it is acknowledged or refused. Attempts go to
// one control process after the other and follow redirects.
func order(rec *record, f *fleet, method, path, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for attempt := range 300 {
		controls := f.controls()
		m := controls[attempt%len(controls)]
		req, err := http.NewRequest(method, "http://"+m.address(portControl)+path, strings.NewReader(body))
		check(err)
		req.Header.Set("Content-Type", "application/json")
		response, err := client.Do(req)
		if err != nil {
			rec.note("operator: %s %s to %s: %v", method, path, m.name, err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		rec.note("operator: %s %s to %s: %d %.100s", method, path, m.name, response.StatusCode, text)
		if response.StatusCode == 200 {
			rec.say("acknowledged: %s %s", method, path)
			return true
		}
		if response.StatusCode < 500 {
			rec.say("refused: %s %s: %d %s", method, path, response.StatusCode, text)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ready reports whether the machine says that it is ready.
func ready(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}
