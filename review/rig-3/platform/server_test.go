package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request as a server has seen it.
type run struct {
	at                                      time.Time
	server, id, method, target, caller, key string
	body                                    []byte
	header                                  http.Header
	deadline                                int
	refused                                 bool
}

// holding is a range of keys that a server holds.
type holding struct {
	from, to int
	fence    uint64
	until    time.Time
}

// server is a backend as the protocol page describes it.
type server struct {
	m        *machine
	id       string
	born     int64
	slots    int
	sharded  bool
	beat     time.Duration
	work     func(*run) time.Duration
	respond  func(conn net.Conn, r *run) (keep bool) // nil: the default answer
	listener net.Listener
	mu       sync.Mutex
	runs     []*run
	sequence uint64
	state    string
	holds    []holding
	released [][3]any
	running  atomic.Int64
	stopped  chan struct{}
	conns    map[net.Conn]bool
}

func newServer(m *machine, id string, sharded bool) *server {
	return &server{m: m, id: id, born: time.Now().UnixMilli(), slots: 9, sharded: sharded, beat: 870 * time.Millisecond, state: "ready", stopped: make(chan struct{}), conns: map[net.Conn]bool{}}
}

func (s *server) start() {
	l, err := net.Listen("tcp", s.m.addr(s.m.fleet.ports.server))
	check(err)
	s.listener = l
	go s.accept()
	go s.beats()
}

// crash closes the listener and all connections.
func (s *server) crash() {
	select {
	case <-s.stopped:
	default:
		close(s.stopped)
	}
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Endivespring-Instance-Id: %s\r\nX-Endivespring-Server-Load: %d,0,%d\r\n\r\n", s.id, s.running.Load(), s.slots)
			continue
		}
		got := &run{at: time.Now(), server: s.id, id: r.Header.Get("X-Endivespring-Request-Id"), method: r.Method, target: r.RequestURI, caller: r.Header.Get("X-Endivespring-Caller-Service"), key: r.Header.Get("X-Endivespring-Shard-Key"), header: r.Header}
		got.deadline, _ = strconv.Atoi(r.Header.Get("X-Endivespring-Deadline-Ms"))
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got.body = body
		if expected := r.Header.Get("X-Endivespring-Expected-Instance"); expected != "" && expected != s.id {
			s.refuse(c, got, 421)
			continue
		}
		if s.sharded && !s.holdsKey(got.key) {
			s.refuse(c, got, 421)
			continue
		}
		if int(s.running.Add(1)) > s.slots+36 {
			s.running.Add(-1)
			s.refuse(c, got, 503)
			continue
		}
		s.mu.Lock()
		s.runs = append(s.runs, got)
		s.mu.Unlock()
		s.m.fleet.record.line("run at %s: %s %s %s caller=%s body=%d deadline=%d", s.id, got.id, got.method, got.target, got.caller, len(got.body), got.deadline)
		if s.work != nil {
			time.Sleep(s.work(got))
		}
		keep := true
		if s.respond != nil {
			keep = s.respond(c, got)
		} else {
			keep = s.answer(c, got, answerBody(got)) == nil
		}
		s.running.Add(-1)
		if !keep {
			return
		}
	}
}

func answerBody(r *run) []byte { return []byte("answer to " + r.id + " " + r.method + " " + r.target) }

func (s *server) answer(c net.Conn, r *run, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nX-Endivespring-Request-Id: %s\r\nX-Endivespring-Server-Signature: sig-%s\r\nX-Endivespring-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n", r.id, r.id, s.running.Load(), s.slots, len(body))
	if r.method != http.MethodHead {
		b.Write(body)
	}
	_, err := c.Write(b.Bytes())
	return err
}

func (s *server) refuse(c net.Conn, r *run, status int) {
	r.refused = true
	s.m.fleet.record.line("refused at %s with %d: %s key=%s", s.id, status, r.id, r.key)
	fmt.Fprintf(c, "HTTP/1.1 %d No\r\nX-Endivespring-Request-Id: %s\r\nX-Endivespring-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, r.id)
}

func (s *server) holdsKey(text string) bool {
	key, err := strconv.Atoi(text)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, h := range s.holds {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

// beats sends check-ins until the server stops.
func (s *server) beats() {
	for {
		wait := s.beat
		if s.checkIn() {
			wait = 100 * time.Millisecond
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// checkIn sends one check-in and applies the answer. It reports whether keys were released.
func (s *server) checkIn() (again bool) {
	s.mu.Lock()
	s.sequence++
	body := map[string]any{
		"address": s.m.addr(s.m.fleet.ports.server), "born": s.born,
		"information": map[string]any{"service": s.m.service, "version": "v1", "zone": s.m.zone, "slots": s.slots},
		"status":      map[string]any{"state": s.state, "sequence_number": s.sequence, "cold_remaining_s": 0},
	}
	now := time.Now()
	var live []holding
	var rows [][3]any
	for _, h := range s.holds {
		if now.Before(h.until) {
			live = append(live, h)
			rows = append(rows, [3]any{h.from, h.to, h.fence})
		}
	}
	s.holds = live
	if s.sharded {
		if rows == nil {
			rows = [][3]any{}
		}
		released := s.released
		if released == nil {
			released = [][3]any{}
		}
		body["holds"], body["released"] = rows, released
	}
	reported := len(s.released)
	data, err := json.Marshal(body)
	check(err)
	s.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPut, "http://"+s.m.addr(s.m.fleet.ports.announce)+"/api/instances/"+s.id, bytes.NewReader(data))
	check(err)
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != 200 || len(answer) > 4096 || time.Since(now) > time.Second {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = s.released[reported:]
	if !s.sharded {
		return false
	}
	var got struct {
		Holds *[][4]any `json:"holds"`
		HoldS float64   `json:"hold_s"`
	}
	if json.Unmarshal(answer, &got) != nil || got.Holds == nil {
		return false
	}
	until := now.Add(time.Duration(got.HoldS * float64(time.Second)))
	var next []holding
	for _, row := range *got.Holds {
		next = append(next, holding{from: int(row[0].(float64)), to: int(row[1].(float64)), fence: uint64(row[2].(float64)), until: until})
	}
	for _, old := range s.holds {
		covered := false
		for _, n := range next {
			if n.from <= old.from && n.to >= old.to {
				covered = true
			}
		}
		if !covered {
			again = true
			s.released = append(s.released, [3]any{old.from, old.to, fmt.Sprintf("%016x", old.fence)})
		}
	}
	s.holds = next
	return again
}
