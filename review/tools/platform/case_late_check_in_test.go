package cases

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["late-check-in"] = lateCheckIn }

// lateCheckIn restarts one router while the backend next to it runs on. A check-in that the
// earlier boot at that address sent while it was draining was held up by a partition, and
// arrives after the restart. No key may be held by two backends for over half a second (OWNER).
func lateCheckIn(e *env) (int, error) {
	f, err := newFleet(tbv, e.root, e.record)
	if err != nil {
		return cannot, err
	}
	defer f.stop()
	f.addCores()
	w := newKeyWatch(e.record)
	newBoot := func(m *machine, id string) *backend {
		b := newBackend(m, id, "balances", true, 90*time.Millisecond, w)
		w.add(b)
		return b
	}
	other := newBoot(f.addSidecar(tbv.zones[0], "balances"), "i-1")
	earlier := newBoot(f.addSidecar(tbv.zones[1], "balances"), "i-2a")
	m := earlier.machine
	later := newBoot(m, "i-2b")
	state := desiredState(1, 0,
		map[string]route{"balance-check": {Host: "tory.example", PathPrefix: "/tory/", Kind: "safe", Timeout: 0.8, TargetLatency: 0.3, Priority: 2, Service: "balances", MaxAttempts: 2}},
		map[string]service{"balances": shardedService()})
	if _, err := begin(f, state); err != nil {
		return cannot, err
	}
	// The first check-in of the earlier boot that says draining is held up.
	heldUp := make(chan []byte, 1)
	lost := false
	earlier.beatPost = func(body []byte) ([]byte, int, error) {
		if !lost && strings.Contains(string(body), `"state":"draining"`) {
			lost = true
			heldUp <- body
			return nil, 0, errors.New("held up by a partition")
		}
		return earlier.put(body)
	}
	for _, b := range []*backend{other, earlier} {
		if err := b.start(); err != nil {
			return cannot, err
		}
		defer b.crash()
	}
	done := make(chan struct{})
	defer close(done)
	go w.run(done)
	for _, m := range f.sidecars {
		if err := waitServed(newClient(m, true), 20*time.Second); err != nil {
			return cannot, err
		}
	}
	go load(f, done)
	time.Sleep(4 * time.Second)

	// The earlier boot drains and crashes at the end of that; the later one starts in its place.
	earlier.setState("draining")
	late := <-heldUp
	e.record.say("a check-in of %s is held up", earlier.id)
	earlier.wake()
	time.Sleep(drainTimeout + time.Second)
	earlier.crash()
	time.Sleep(untilPhase(other, 1100*time.Millisecond))
	if err := later.start(); err != nil {
		return cannot, err
	}
	defer later.crash()
	for end := time.Now().Add(40 * time.Second); len(later.heldKeys()) == 0; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return cannot, errors.New("the later boot got no keys")
		}
	}
	time.Sleep(3 * time.Second)
	e.record.say("%s holds %d keys; two backends held a key for %.2f s at most so far", later.id, len(later.heldKeys()), w.longestSoFar().Seconds())
	w.reset()

	m.signal(syscall.SIGTERM)
	m.waitEnd(gracePeriod)
	// The router is back before the next check-in of the later boot.
	failed := later.failedBeats.Load()
	for end := time.Now().Add(3 * time.Second); later.failedBeats.Load() == failed && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if err := m.start(); err != nil {
		return cannot, err
	}
	if e.trouble {
		go func() {
			for {
				status, err := deliver(m, earlier.id, late)
				if err == nil {
					e.record.say("the late check-in of %s arrives at %s -> %d", earlier.id, m.name, status)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	time.Sleep(8 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest > 0 {
		e.record.say("%s and %s held %d keys, key %d among them, at the same time for up to %.2f s", w.worst.a.id, w.worst.b.id, w.mostKeys, w.worst.key, w.longest.Seconds())
	}
	if w.longest > 500*time.Millisecond || w.both > 0 {
		e.record.say("OWNER is broken")
		return broken, nil
	}
	return held, nil
}

// untilPhase returns how long to wait until the given time has passed since a check-in of a
// backend.
func untilPhase(b *backend, phase time.Duration) time.Duration {
	beat := b.machine.fleet.site.beat
	since := time.Since(b.lastBeat()) % beat
	return (phase - since + beat) % beat
}

// deliver sends a check-in that was held up.
func deliver(m *machine, id string, body []byte) (int, error) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPut, "http://"+m.address(portControl)+"/api/instances/"+id, strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// load sends 40 requests a second on random keys until done is closed.
func load(f *fleet, done <-chan struct{}) {
	clients := make([]*clientOf, len(f.sidecars))
	for i, m := range f.sidecars {
		clients[i] = newClient(m, true)
	}
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(25 * time.Millisecond):
			c := clients[i%len(clients)]
			if i%len(clients) == 0 || c.machine.running() {
				go c.send("GET", "tory.example", "/tory/1", rand.IntN(keyCount), nil, 800*time.Millisecond)
			}
		}
	}
}
