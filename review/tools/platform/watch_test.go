package cases

import (
	"sync"
	"time"
)

// keyWatch checks the rules on who holds which keys, over all backends of a service.
type keyWatch struct {
	record *record
	// events holds the starts of requests that were not looked at yet.
	events chan watchEvent

	mu       sync.Mutex
	backends []*backend
	// since is when two backends began to hold a key at the same time, begun which of them
	// began requests on it since then.
	since map[pairKey]time.Time
	begun map[pairKey]map[*backend]bool
	// longest is the longest such time so far, worst its key and backends, mostKeys the
	// largest number of keys that two backends held at once, and both how often both began
	// requests.
	longest  time.Duration
	worst    pairKey
	mostKeys int
	both     int
}

// pairKey is a key and two backends that hold it.
type pairKey struct {
	a, b *backend
	key  int
}

// watchEvent is the start of a request at a backend.
type watchEvent struct {
	b   *backend
	key int
	at  time.Time
}

func newKeyWatch(r *record) *keyWatch {
	return &keyWatch{record: r, since: map[pairKey]time.Time{}, begun: map[pairKey]map[*backend]bool{}, events: make(chan watchEvent, 1<<16)}
}

func (w *keyWatch) add(b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, b)
}

// began is called with the lock of the backend, so the event is only queued.
func (w *keyWatch) began(b *backend, key int, at time.Time) {
	select {
	case w.events <- watchEvent{b: b, key: key, at: at}:
	default:
	}
}

// poll looks at all keys once. It must be called often.
func (w *keyWatch) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	holders := make([][]bool, len(w.backends))
	for i, b := range w.backends {
		held := make([]bool, keyCount)
		b.mu.Lock()
		if b.alive {
			for k := range keyCount {
				held[k] = now.Before(b.expiry[k])
			}
		}
		b.mu.Unlock()
		holders[i] = held
	}
	for k := range keyCount {
		for i := range w.backends {
			if !holders[i][k] {
				continue
			}
			for j := i + 1; j < len(w.backends); j++ {
				p := pairKey{w.backends[i], w.backends[j], k}
				if !holders[j][k] {
					continue
				}
				if _, ok := w.since[p]; !ok {
					w.since[p] = now
					w.begun[p] = map[*backend]bool{}
				}
				if d := now.Sub(w.since[p]); d > w.longest {
					w.longest, w.worst = d, p
				}
			}
		}
	}
	w.mostKeys = max(w.mostKeys, len(w.since))
	for p := range w.since {
		if !w.holdsNow(holders, p) {
			delete(w.since, p)
			delete(w.begun, p)
		}
	}
	for {
		select {
		case e := <-w.events:
			for p, sides := range w.begun {
				if p.key == e.key && (p.a == e.b || p.b == e.b) && !e.at.Before(w.since[p]) {
					sides[e.b] = true
					if len(sides) == 2 {
						w.both++
						w.record.add("check: %s and %s both hold key %d and both began requests on it", p.a.id, p.b.id, p.key)
						delete(sides, e.b)
					}
				}
			}
		default:
			return
		}
	}
}

func (w *keyWatch) holdsNow(holders [][]bool, p pairKey) bool {
	count := 0
	for i, b := range w.backends {
		if (b == p.a || b == p.b) && holders[i][p.key] {
			count++
		}
	}
	return count == 2
}

// run polls until done is closed.
func (w *keyWatch) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
			w.poll()
		}
	}
}

// reset forgets what was found so far.
func (w *keyWatch) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest, w.both, w.mostKeys = 0, 0, 0
}

func (w *keyWatch) longestSoFar() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}
