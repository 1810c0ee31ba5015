package platform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one request of a client: a POST with a body of the given size, with a length or in
// chunks.
type request struct {
	target  string
	size    int
	chunked bool
	limit   time.Duration
	tries   int
}

// tally counts the requests of one kind and those that were served.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

func (t tally) String() string { return fmt.Sprintf("%d of %d served", t.served, t.sent) }

var serial = func() func() string {
	var mu sync.Mutex
	n := 0
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		n++
		return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(n))
	}
}()

// do sends a request, on a connection of its own. After a refusal it is sent again with a new id,
// when the answer says so, within a third of the time that is left. It reports whether it was
// served.
func do(m *machine, r request) bool {
	end := time.Now().Add(r.limit)
	for try := 0; ; try++ {
		status, after := attempt(m, r, time.Until(end))
		if status == http.StatusOK {
			return true
		}
		left := time.Until(end)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || try >= r.tries || left <= 0 {
			return false
		}
		time.Sleep(min(after, left/3))
	}
}

func attempt(m *machine, r request, limit time.Duration) (status int, after time.Duration) {
	id, rec, began := serial(), m.fleet.record, time.Now()
	how := "with a length"
	if r.chunked {
		how = "in chunks"
	}
	rec.line("sent at %s: %s POST %s, %d bytes %s", m.name, id, r.target, r.size, how)
	c, err := net.DialTimeout("tcp", m.addr(m.fleet.ports.outbound), time.Second)
	if err != nil {
		rec.line("not connected: %s %v", id, err)
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	check(c.SetDeadline(time.Now().Add(limit)))
	go write(c, id, r, limit)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		rec.line("not answered: %s %v", id, err)
		return 0, 0
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		rec.line("answer broken off: %s %d %v", id, response.StatusCode, err)
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	rec.line("answered: %s %d %q after %d ms, Retry-After %v s", id, response.StatusCode, strings.TrimSpace(string(body[:min(60, len(body))])), time.Since(began).Milliseconds(), seconds)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

func write(c net.Conn, id string, r request, limit time.Duration) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Endivespring-Request-Id: %s\r\nX-Endivespring-Deadline-Ms: %d\r\n", r.target, id, limit.Milliseconds())
	piece := bytes.Repeat([]byte("x"), 64<<10)
	if r.chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", r.size)
	}
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for left := r.size; left > 0; left -= len(piece) {
		part := piece[:min(left, len(piece))]
		if r.chunked {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if _, err := c.Write(part); err != nil {
			return
		}
	}
	if r.chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}
