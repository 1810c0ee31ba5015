package cases

import (
	"fmt"
	"time"
)

func init() { cases["departure"] = departure }

// departure lets one backend of a sharded service leave with a DELETE, as part of planned work,
// in a quiet hour in which its keys get a request now and then. The backend goes on serving for
// drain_timeout_s and a little longer, and exits. Later than drain_timeout_s after the
// acknowledgement of the DELETE, no request may reach it (DRAIN).
func departure(e *env) (int, error) {
	f, err := newFleet(pasaz, e.root, e.record)
	if err != nil {
		return cannot, err
	}
	defer f.stop()
	f.addCores()
	w := newKeyWatch(e.record)
	var backends []*backend
	for i, zone := range pasaz.zones {
		m := f.addSidecar(zone, "harmonogram")
		backends = append(backends, newBackend(m, fmt.Sprintf("i-%d", i+1), "harmonogram", true, 120*time.Millisecond, w))
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
	clients := newClient(f.sidecars[0], true)
	for _, m := range f.sidecars {
		if err := waitServed(newClient(m, true), 20*time.Second); err != nil {
			return cannot, err
		}
	}
	time.Sleep(8 * time.Second)

	leaver := backends[1]
	keys := leaver.heldKeys()
	if len(keys) == 0 {
		return cannot, fmt.Errorf("%s holds no keys", leaver.id)
	}
	e.record.say("%s holds %d keys, %d to %d", leaver.id, len(keys), keys[0], keys[len(keys)-1])
	acknowledged := time.Now()
	if e.trouble {
		if acknowledged, err = leaver.leave(); err != nil {
			return cannot, err
		}
		time.AfterFunc(drainTimeout+2*time.Second, leaver.crash)
	}
	// The requests of the quiet hour on these keys.
	for i, after := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond} {
		time.Sleep(time.Until(acknowledged.Add(after)))
		clients.send("GET", "tory.example", "/tory/1", keys[(i+1)*len(keys)/4], nil, 2500*time.Millisecond)
	}
	late := 0
	for _, r := range leaver.allRuns() {
		if after := r.at.Sub(acknowledged); after > drainTimeout {
			late++
			e.record.say("request %s on key %d reached %s %.2f s after the acknowledgement", r.id, r.key, leaver.id, after.Seconds())
		}
	}
	if !e.trouble {
		e.record.say("%d requests served by %s, which did not leave", late, leaver.id)
		if late == 0 {
			return cannot, fmt.Errorf("no request was served")
		}
		return held, nil
	}
	if late > 0 {
		e.record.say("DRAIN is broken: %d requests reached %s later than %s after its DELETE was acknowledged", late, leaver.id, drainTimeout)
		return broken, nil
	}
	return held, nil
}

// waitServed sends requests over all keys until each gets a 200.
func waitServed(c *clientOf, limit time.Duration) error {
	end := time.Now().Add(limit)
	for key := 0; key < keyCount; {
		a := c.send("GET", "tory.example", "/tory/0", key, nil, 2500*time.Millisecond)
		if a.status == 200 {
			key += keyCount / 16
			continue
		}
		if time.Now().After(end) {
			return fmt.Errorf("no service after %s: %d %v", limit, a.status, a.err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
