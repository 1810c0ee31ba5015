package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const beatInterval = 870 * time.Millisecond

// held is a range of keys that a backend holds.
type held struct {
	from, to, fence int
	until           time.Time
}

// run is a request at which a backend works.
type run struct {
	id      string
	key     int
	started time.Time
}

// backend is a stand-in for an application backend: it serves requests as PROTOCOL.md says
// and sends check-ins to the router on its machine.
type backend struct {
	mu        sync.Mutex
	rec       *record
	m         *machine
	id        string
	born      int64
	slots     int
	sharded   bool
	work      time.Duration
	coldFrom  time.Time
	coldUntil time.Time
	crashAt   int // requests in a second at which a cold backend crashes, or zero
	crashed   bool
	sequence  int
	answered  int // bytes of the last answer to a check-in
	state     string
	holds     []held
	released  [][3]any
	seen      [65536]int // highest fence, by key
	running   map[*run]bool
	arrivals  []run // with those that are refused as too many
	began     []run
	listener  net.Listener
	server    *http.Server
	stop      chan struct{}
	hurry     chan struct{}
	// skip, if it returns true for a check-in, keeps it from being sent.
	skip func(sequence int, body []byte) bool
	// onHold is called with b.mu held as the backend takes keys that it did not hold.
	onHold func(h held)
	// quiet is set once the backend sends no more check-ins.
	quiet bool
	// after is called with b.mu held after the next check-in.
	after func()
	// keeps is set for a backend that goes on with a request when its connection closes.
	keeps bool
	// onRun is called as a run begins.
	onRun func(r run)
}

func newBackend(rec *record, m *machine, id string, work time.Duration, sharded bool) *backend {
	return &backend{
		rec: rec, m: m, id: id, born: time.Now().UnixMilli(), slots: 9, sharded: sharded, work: work, state: "ready", running: map[*run]bool{}, stop: make(chan struct{}), hurry: make(chan struct{}, 1),
	}
}

func (b *backend) start() {
	l, err := net.Listen("tcp", b.m.address(portUpstream))
	check(err)
	b.listener, b.server = l, &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	go b.beat()
	b.rec.note("backend %s starts on %s", b.id, b.m.name)
}

// end ends the backend at once. What it works at is lost.
func (b *backend) end() {
	close(b.stop)
	b.mu.Lock()
	n := len(b.running)
	b.mu.Unlock()
	_ = b.server.Close()
	b.rec.say("backend %s ends with %d requests at work", b.id, n)
}

// ServeHTTP runs a request, or refuses it.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Endivespring-Request-Id")
	h := w.Header()
	if id != "" {
		h.Set("X-Endivespring-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		h.Set("X-Endivespring-Instance-Id", b.id)
		return
	}
	refuse := func(status int, why string) {
		b.rec.note("backend %s refuses %s: %d %s", b.id, id, status, why)
		h.Set("X-Endivespring-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Endivespring-Expected-Instance"); expected != "" && expected != b.id {
		refuse(421, "for "+expected)
		return
	}
	key, _ := strconv.Atoi(r.Header.Get("X-Endivespring-Shard-Key"))
	work := b.work
	if text := r.Header.Get("X-Work-Ms"); text != "" {
		ms, _ := strconv.Atoi(text)
		work = time.Duration(ms) * time.Millisecond
	}
	b.mu.Lock()
	if b.sharded && !b.holdsKey(key, arrived) {
		b.mu.Unlock()
		refuse(421, fmt.Sprint("key ", key))
		return
	}
	b.arrivals = append(b.arrivals, run{id: id, started: arrived})
	if b.crashAt > 0 && !b.crashed && arrived.Before(b.coldUntil) && b.lastSecond(arrived) > b.crashAt {
		b.crashed = true
		b.rec.say("the cold backend %s crashes", b.id)
		go b.end()
	}
	if len(b.running) >= b.slots {
		b.mu.Unlock()
		refuse(503, "full")
		return
	}
	current := &run{id: id, key: key, started: arrived}
	b.running[current] = true
	b.began = append(b.began, *current)
	if time.Now().Before(b.coldUntil) {
		work *= 2
	}
	n := len(b.running)
	if b.onRun != nil {
		b.onRun(*current)
	}
	b.mu.Unlock()
	b.rec.note("backend %s runs %s %s key %d body %d", b.id, id, r.URL.Path, key, len(body))
	ended, gone := false, r.Context().Done()
	if b.keeps {
		gone = nil
	}
	select {
	case <-time.After(work):
	case <-gone:
		ended = true
	}
	b.mu.Lock()
	lost := b.sharded && !b.holdsKey(key, time.Now())
	delete(b.running, current)
	b.mu.Unlock()
	b.rec.note("backend %s ends %s, dropped %v, hold lost %v", b.id, id, ended, lost)
	h.Set("X-Endivespring-Server-Load", fmt.Sprintf("%d,0,%d,100", n-1, b.slots))
	h.Set("X-Endivespring-Server-Signature", b.id+"."+id)
	if lost {
		w.WriteHeader(500)
	}
	fmt.Fprintf(w, "%s ran %s\n", b.id, id)
}

// lastSecond returns how many requests arrived in the last second of a cold time. b.mu is held.
func (b *backend) lastSecond(now time.Time) int {
	n := 0
	for _, a := range b.arrivals {
		if !a.started.Before(b.coldFrom) && now.Sub(a.started) < time.Second {
			n++
		}
	}
	return n
}

// holdsKey reports whether the backend holds a key. b.mu is held.
func (b *backend) holdsKey(key int, at time.Time) bool {
	for _, h := range b.holds {
		if h.from <= key && key <= h.to && at.Before(h.until) {
			return true
		}
	}
	return false
}

// worksOn reports whether a run on a range is under way. b.mu is held.
func (b *backend) worksOn(h held) bool {
	for r := range b.running {
		if h.from <= r.key && r.key <= h.to {
			return true
		}
	}
	return false
}

// checkIn returns the number and the body of the next check-in. b.mu is held.
func (b *backend) checkIn() (int, []byte) {
	b.sequence++
	now := time.Now()
	cold := max(0, b.coldUntil.Sub(now).Seconds())
	body := map[string]any{
		"address":     b.m.address(portUpstream),
		"born":        b.born,
		"information": map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": b.slots},
		"status":      map[string]any{"state": b.state, "sequence_number": b.sequence, "cold_remaining_s": cold},
	}
	if b.sharded {
		rows, kept := [][3]int{}, b.holds[:0]
		for _, h := range b.holds {
			if now.Before(h.until) || b.worksOn(h) {
				rows, kept = append(rows, [3]int{h.from, h.to, h.fence}), append(kept, h)
			}
		}
		b.holds = kept
		body["holds"], body["released"] = rows, append([][3]any{}, b.released...)
	}
	data, _ := json.Marshal(body)
	return b.sequence, data
}

// beat sends check-ins until the backend ends.
func (b *backend) beat() {
	for {
		b.mu.Lock()
		number, body := b.checkIn()
		b.mu.Unlock()
		if !b.isQuiet() && (b.skip == nil || !b.skip(number, body)) {
			b.sendBeat(number, body)
		}
		b.mu.Lock()
		if b.after != nil {
			b.after()
			b.after = nil
		}
		b.mu.Unlock()
		select {
		case <-time.After(beatInterval):
		case <-b.hurry:
			time.Sleep(80 * time.Millisecond)
		case <-b.stop:
			return
		}
	}
}

func (b *backend) isQuiet() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.quiet
}

// afterBeat calls a function right after the next check-in and returns then.
func (b *backend) afterBeat(do func()) {
	done := make(chan struct{})
	b.mu.Lock()
	b.after = func() {
		do()
		close(done)
	}
	b.mu.Unlock()
	<-done
}

// sendBeat sends a check-in and takes its answer.
func (b *backend) sendBeat(number int, body []byte) {
	sent := time.Now()
	status, data, err := b.put("PUT", body)
	b.rec.note("backend %s check-in %d: %d %.60s %v", b.id, number, status, data, err)
	b.mu.Lock()
	b.answered = len(data)
	b.mu.Unlock()
	if err != nil || status != 200 || len(data) > 4096 || time.Since(sent) > time.Second {
		return
	}
	var answer struct {
		Holds [][]any `json:"holds"`
		HoldS float64 `json:"hold_s"`
	}
	if len(data) > 0 && json.Unmarshal(data, &answer) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = nil
	if answer.Holds == nil {
		return
	}
	b.take(answer.Holds, sent.Add(time.Duration(answer.HoldS*float64(time.Second))))
}

// take makes the backend hold the rows of an answer, and release what is left out. b.mu is held.
func (b *backend) take(rows [][]any, until time.Time) {
	var next []held
	for _, row := range rows {
		if h := (held{int(row[0].(float64)), int(row[1].(float64)), int(row[2].(float64)), until}); b.accepts(h) {
			next = append(next, h)
		}
	}
	pending := false
	granted := append([]held(nil), next...)
	for _, old := range b.holds {
		if !time.Now().Before(old.until) && !b.worksOn(old) {
			continue
		}
		for _, part := range without(old, granted) {
			pending = true
			if b.worksOn(part) {
				next = append(next, part)
				continue
			}
			var handover [8]byte
			_, _ = rand.Read(handover[:])
			b.released = append(b.released, [3]any{part.from, part.to, hex.EncodeToString(handover[:])})
			b.rec.note("backend %s releases %d-%d", b.id, part.from, part.to)
		}
	}
	for _, n := range granted {
		for _, part := range without(n, b.holds) {
			b.rec.note("backend %s holds %d-%d fence %d for %.2f s", b.id, part.from, part.to, n.fence, time.Until(n.until).Seconds())
			if b.onHold != nil {
				b.onHold(part)
			}
		}
	}
	b.holds = next
	if pending {
		select {
		case b.hurry <- struct{}{}:
		default:
		}
	}
}

// accepts reports whether the backend takes a row: it has seen no higher fence on its keys.
func (b *backend) accepts(h held) bool {
	for key := h.from; key <= h.to; key++ {
		if b.seen[key] > h.fence {
			b.rec.note("backend %s does not take %d-%d with fence %d", b.id, h.from, h.to, h.fence)
			return false
		}
	}
	for key := h.from; key <= h.to; key++ {
		b.seen[key] = h.fence
	}
	return true
}

// without returns the parts of a range that no row has.
func without(r held, rows []held) []held {
	parts := []held{r}
	for _, row := range rows {
		var next []held
		for _, p := range parts {
			if row.to < p.from || row.from > p.to {
				next = append(next, p)
				continue
			}
			if p.from < row.from {
				next = append(next, held{p.from, row.from - 1, p.fence, p.until})
			}
			if row.to < p.to {
				next = append(next, held{row.to + 1, p.to, p.fence, p.until})
			}
		}
		parts = next
	}
	return parts
}

// put calls the router on the machine.
func (b *backend) put(method string, body []byte) (int, []byte, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+b.m.address(portControl)+"/api/instances/"+b.id, bytes.NewReader(body))
	check(err)
	req.Header.Set("Content-Type", "application/json")
	response, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// leave sends DELETE and returns when it is acknowledged.
func (b *backend) leave() bool {
	for range 5 {
		status, _, err := b.put("DELETE", nil)
		b.rec.say("backend %s leaves: %d %v", b.id, status, err)
		if status == 200 {
			return true
		}
	}
	return false
}
