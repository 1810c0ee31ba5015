package cases

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const keyCount = 65536

// backend is a stand-in for a backend of the platform. It holds keys under leases, runs
// requests only on keys that it holds, and sends check-ins to the router beside it.
type backend struct {
	id      string
	service string
	machine *machine
	record  *record
	slots   int
	work    time.Duration
	sharded bool
	// watch, if set, is told when a request on a key begins.
	watch *keyWatch

	mu       sync.Mutex
	born     int64
	sequence uint64
	state    string
	alive    bool
	// left is set once a DELETE was acknowledged: no check-ins follow.
	left bool
	// fence and expiry are those of each held key; expiry is zero if it is not held.
	fence    []uint64
	maxFence []uint64
	expiry   []time.Time
	// releasing is set for a key that was withdrawn while work on it goes on.
	releasing []bool
	working   []int
	released  [][3]any
	running   int
	runs      []run
	nextBeat  chan struct{}
	// failedBeats counts the check-ins that were not acknowledged.
	failedBeats atomic.Int64
	lastBeatAt  time.Time

	server  *http.Server
	stopped chan struct{}
	// beatPost delivers a check-in and returns the answer.
	beatPost func(body []byte) ([]byte, int, error)
}

// run is a request that the backend began to work on.
type run struct {
	id       string
	key      int
	at       time.Time
	end      time.Time
	method   string
	target   string
	bytes    int
	deadline string
	header   http.Header
}

func newBackend(m *machine, id, service string, sharded bool, work time.Duration, w *keyWatch) *backend {
	return &backend{
		id: id, service: service, machine: m, record: m.fleet.record, slots: 9, work: work, sharded: sharded, watch: w, state: "ready",
		fence: make([]uint64, keyCount), maxFence: make([]uint64, keyCount), expiry: make([]time.Time, keyCount),
		releasing: make([]bool, keyCount), working: make([]int, keyCount), nextBeat: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// start listens at the application address and begins to send check-ins.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.machine.address(portApp))
	if err != nil {
		return err
	}
	b.born, b.alive = time.Now().UnixMilli(), true
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	if b.beatPost == nil {
		b.beatPost = b.put
	}
	b.record.add("backend %s starts at %s", b.id, b.machine.name)
	go func() { _ = b.server.Serve(listener) }()
	go b.beats()
	return nil
}

// crash ends the backend at once: its connections are closed and it says nothing more.
func (b *backend) crash() {
	b.mu.Lock()
	if !b.alive {
		b.mu.Unlock()
		return
	}
	b.alive = false
	b.mu.Unlock()
	close(b.stopped)
	_ = b.server.Close()
	b.record.add("backend %s has ended", b.id)
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Endivespring-Request-Id")
	w.Header().Set("X-Endivespring-Server-Load", b.load())
	w.Header().Set("X-Endivespring-Request-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Endivespring-Instance-Id", b.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Endivespring-Expected-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Endivespring-Instance-Id", b.id)
		b.record.add("backend %s: request %s expects %s -> 421", b.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Endivespring-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := -1
	if b.sharded {
		key, err = strconv.Atoi(r.Header.Get("X-Endivespring-Shard-Key"))
		if err != nil || key < 0 || key >= keyCount {
			w.Header().Set("X-Endivespring-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	started, ok := b.begin(id, key, r, body)
	if !ok {
		w.Header().Set("X-Endivespring-Not-Executed", "1")
		b.record.add("backend %s: request %s key %d -> 421, not held", b.id, id, key)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	limit := time.Duration(1 << 62)
	if ms, err := strconv.ParseInt(r.Header.Get("X-Endivespring-Deadline-Ms"), 10, 64); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	status := http.StatusOK
	timer := time.NewTimer(min(b.work, limit))
	select {
	case <-timer.C:
	case <-r.Context().Done():
		status = 0
	}
	timer.Stop()
	if limit < b.work && status != 0 {
		status = http.StatusGatewayTimeout
	}
	held := b.end(started, key)
	if status == 0 {
		b.record.add("backend %s: request %s key %d dropped, its connection has closed", b.id, id, key)
		return
	}
	if !held && status == http.StatusOK {
		status = http.StatusInternalServerError
	}
	w.Header().Set("X-Endivespring-Server-Signature", "3e1b.07."+b.id)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", b.id, id)
	b.record.add("backend %s: request %s key %d -> %d", b.id, id, key, status)
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", b.running, b.slots)
}

// begin records the start of a request, unless its key is not held.
func (b *backend) begin(id string, key int, r *http.Request, body []byte) (index int, ok bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if key >= 0 {
		if b.releasing[key] || !now.Before(b.expiry[key]) {
			return 0, false
		}
		b.working[key]++
	}
	b.running++
	b.runs = append(b.runs, run{
		id: id, key: key, at: now, method: r.Method, target: r.RequestURI, bytes: len(body), deadline: r.Header.Get("X-Endivespring-Deadline-Ms"), header: r.Header.Clone(),
	})
	b.record.at(now, "backend %s: request %s key %d begins", b.id, id, key)
	if b.watch != nil && key >= 0 {
		b.watch.began(b, key, now)
	}
	return len(b.runs) - 1, true
}

// end records the end of a request. It reports whether its key is still held.
func (b *backend) end(index, key int) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[index].end = now
	b.running--
	if key < 0 {
		return true
	}
	held := now.Before(b.expiry[key])
	b.working[key]--
	if b.working[key] == 0 && b.releasing[key] {
		b.releaseKeys(key, key)
		b.wake()
	}
	return held
}

// releaseKeys gives up keys and reports them with the next check-in.
func (b *backend) releaseKeys(first, last int) {
	for k := first; k <= last; k++ {
		b.expiry[k], b.releasing[k] = time.Time{}, false
	}
	b.released = append(b.released, [3]any{first, last, fmt.Sprintf("h-%s-%d-%d", b.id, first, b.sequence)})
}

func (b *backend) hasLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// setState changes the state that check-ins report.
func (b *backend) setState(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

// lastBeat returns when the latest check-in was sent.
func (b *backend) lastBeat() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastBeatAt
}

func (b *backend) wake() {
	select {
	case b.nextBeat <- struct{}{}:
	default:
	}
}

// holds reports whether the backend is up and holds a key now.
func (b *backend) holds(key int, now time.Time) bool {
	return b.alive && (now.Before(b.expiry[key]))
}

// beats sends check-ins until the backend ends.
func (b *backend) beats() {
	for {
		again := !b.hasLeft() && b.checkIn()
		wait := b.machine.fleet.site.beat
		if again {
			wait = 100 * time.Millisecond
		}
		timer := time.NewTimer(wait)
		select {
		case <-b.stopped:
			timer.Stop()
			return
		case <-timer.C:
		case <-b.nextBeat:
			timer.Stop()
		}
	}
}

type beatAnswer struct {
	Holds       *[][4]any `json:"holds"`
	HoldSeconds float64   `json:"hold_s"`
}

// body returns the next check-in and how many released rows it reports.
func (b *backend) body() (data []byte, rows int, sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	now := time.Now()
	b.lastBeatAt = now
	holds := [][3]uint64{}
	held := func(k int) bool { return now.Before(b.expiry[k]) || b.working[k] > 0 }
	for k := 0; k < keyCount; k++ {
		if !held(k) {
			continue
		}
		if n := len(holds); n > 0 && holds[n-1][1] == uint64(k-1) && holds[n-1][2] == b.fence[k] {
			holds[n-1][1] = uint64(k)
			continue
		}
		holds = append(holds, [3]uint64{uint64(k), uint64(k), b.fence[k]})
	}
	message := map[string]any{
		"address":     b.machine.address(portApp),
		"information": map[string]any{"service": b.service, "version": "v1", "zone": b.machine.zone, "slots": b.slots},
		"status":      map[string]any{"state": b.state, "sequence_number": b.sequence, "cold_remaining_s": 0},
		"born":        b.born,
	}
	if b.sharded {
		message["holds"], message["released"] = holds, append([][3]any{}, b.released...)
	}
	data, _ = json.Marshal(message)
	return data, len(b.released), b.sequence
}

// checkIn sends one check-in and applies the answer. It reports whether another one is due
// within 100 ms.
func (b *backend) checkIn() bool {
	data, rows, sequence := b.body()
	sent := time.Now()
	answered, status, err := b.beatPost(data)
	if err != nil || status/100 != 2 || time.Since(sent) > time.Second {
		b.failedBeats.Add(1)
		b.record.at(sent, "backend %s: check-in %d -> not acknowledged (%d, %v)", b.id, sequence, status, err)
		return false
	}
	var a beatAnswer
	if err := json.Unmarshal(answered, &a); err != nil {
		b.record.at(sent, "backend %s: check-in %d -> unreadable answer", b.id, sequence)
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.alive {
		return false
	}
	b.released = b.released[min(rows, len(b.released)):]
	if !b.sharded {
		b.record.at(sent, "backend %s: check-in %d %s -> %d", b.id, sequence, b.state, status)
		return false
	}
	b.record.at(sent, "backend %s: check-in %d %s, answered after %d ms -> %s", b.id, sequence, b.state, time.Since(sent).Milliseconds(), bytes.TrimSpace(answered))
	if a.Holds == nil {
		return len(b.released) > 0
	}
	b.apply(&a, sent)
	return len(b.released) > 0
}

// apply takes the keys of an answer, whose lease counts from when the check-in was sent.
func (b *backend) apply(a *beatAnswer, sent time.Time) {
	until := sent.Add(time.Duration(a.HoldSeconds * float64(time.Second)))
	now := time.Now()
	listed := make([]bool, keyCount)
	for _, row := range *a.Holds {
		first, last, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		accepted := true
		for k := first; k <= last; k++ {
			accepted = accepted && fence >= b.maxFence[k]
		}
		if !accepted {
			b.record.add("backend %s: row %v not accepted, a higher fence was seen", b.id, row)
			continue
		}
		for k := first; k <= last; k++ {
			listed[k] = true
			b.fence[k], b.maxFence[k], b.expiry[k], b.releasing[k] = fence, fence, until, false
		}
	}
	for k := 0; k < keyCount; k++ {
		if listed[k] || !now.Before(b.expiry[k]) {
			continue
		}
		if b.working[k] > 0 {
			b.releasing[k] = true
			continue
		}
		last := k
		for last+1 < keyCount && !listed[last+1] && now.Before(b.expiry[last+1]) && b.working[last+1] == 0 && b.fence[last+1] == b.fence[k] {
			last++
		}
		b.releaseKeys(k, last)
		k = last
	}
}

// put sends a check-in to the control_plane address of the backend's machine.
func (b *backend) put(body []byte) ([]byte, int, error) {
	return b.request(http.MethodPut, body)
}

// leave announces the departure with a DELETE, and returns when it was acknowledged.
func (b *backend) leave() (time.Time, error) {
	_, status, err := b.request(http.MethodDelete, nil)
	acknowledged := time.Now()
	b.record.at(acknowledged, "backend %s: DELETE -> %d %v", b.id, status, err)
	if err == nil && status/100 == 2 {
		b.mu.Lock()
		b.left = true
		b.mu.Unlock()
	}
	if err == nil && status/100 != 2 {
		err = errors.New("DELETE not acknowledged: " + strconv.Itoa(status))
	}
	return acknowledged, err
}

func (b *backend) request(method string, body []byte) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.machine.address(portControl)+"/api/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	return data, response.StatusCode, err
}

// allRuns returns a copy of the requests that the backend began.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// heldKeys returns the keys that the backend holds now.
func (b *backend) heldKeys() []int {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var keys []int
	for k := range keyCount {
		if now.Before(b.expiry[k]) && !b.releasing[k] {
			keys = append(keys, k)
		}
	}
	return keys
}
