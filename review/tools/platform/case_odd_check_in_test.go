package cases

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

func init() { cases["odd-check-in"] = oddCheckIn }

// oddCheckIn lets another writer send one check-in to a router, with a service that no desired
// state names. It names no backend to use, and the others have to hold: no key may be held by
// two backends for over half a second (OWNER).
func oddCheckIn(e *env) (int, error) {
	f, err := newFleet(pasaz, e.root, e.record)
	if err != nil {
		return cannot, err
	}
	defer f.stop()
	f.addCores()
	w := newKeyWatch(e.record)
	var backends []*backend
	for i, zone := range pasaz.zones {
		b := newBackend(f.addSidecar(zone, "harmonogram"), fmt.Sprintf("i-%d", i+1), "harmonogram", true, 120*time.Millisecond, w)
		backends = append(backends, b)
		w.add(b)
	}
	state := desiredState(1, 0,
		map[string]route{"wolne-tory": {Host: "tory.example", PathPrefix: "/tory/", Kind: "safe", Timeout: 2.5, TargetLatency: 0.4, Priority: 2, Service: "harmonogram", MaxAttempts: 2}},
		map[string]service{"harmonogram": shardedService()})
	if _, err := begin(f, state); err != nil {
		return cannot, err
	}
	for _, b := range backends {
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
	time.Sleep(6 * time.Second)
	hit := backends[1]
	e.record.say("%s holds %d keys; two backends held a key for %.2f s at most so far", hit.id, len(hit.heldKeys()), w.longestSoFar().Seconds())
	w.reset()
	if e.trouble {
		body, err := json.Marshal(map[string]any{
			"address":     hit.machine.address(portApp),
			"information": map[string]any{"service": "node-agent", "version": "v1", "zone": hit.machine.zone, "slots": 1},
			"status":      map[string]any{"state": "ready", "sequence_number": 1, "cold_remaining_s": 0},
			"born":        time.Now().UnixMilli(),
		})
		if err != nil {
			return cannot, err
		}
		status, err := deliver(hit.machine, "agent-7", body)
		e.record.say("a check-in of another writer, for the service node-agent, at %s -> %d %v", hit.machine.name, status, err)
		if err != nil {
			return cannot, errors.New("the check-in was not delivered")
		}
	}
	time.Sleep(15 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest > 0 {
		e.record.say("%s and %s held %d keys, key %d among them, at the same time for up to %.2f s", w.worst.a.id, w.worst.b.id, w.mostKeys, w.worst.key, w.longest.Seconds())
	}
	e.record.say("%s holds %d keys at the end", hit.id, len(hit.heldKeys()))
	if w.longest > 500*time.Millisecond || w.both > 0 {
		e.record.say("OWNER is broken")
		return broken, nil
	}
	return held, nil
}
