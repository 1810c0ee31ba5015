package main

import (
	"fmt"
	"time"
)

const ownerConfiguration = `{"version":1,"base_version":0,"routes":{"r-1":{"host":"lanes.example","path_prefix":"/free/","kind":"unsafe","timeout_s":5,"target_latency_s":2,"priority":1,"service":"lanes","max_attempts":2}},
"services":{"lanes":{"health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":23.0,"sharded":true,"warm_up_s":2.0,"grants":"heartbeat"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

// owner adds a backend in zone a, evacuates the zone, and kills the router beside that backend
// before its next check-in. The first check-in of the backend, sent before it held keys,
// arrives late: as the first one at the new process of the router.
func owner(rec *record, f *fleet) bool {
	f.core()
	var others []*backend
	for i := range 5 {
		m := f.add(fmt.Sprint("side-b-", i+1), "router", "b", "lanes")
		others = append(others, newBackend(rec, m, fmt.Sprint("i-b", i+1), 50*time.Millisecond, true))
	}
	side := f.add("side-a-1", "router", "a", "lanes")
	f.startAll(ownerConfiguration)
	for _, b := range others {
		b.start()
		time.Sleep(beatInterval / 5)
	}
	f.until("all keys are held", 15*time.Second, func() bool { return countKeys(others) == 65536 })

	// A backend is added. Its first check-in is held up on its way.
	b1 := newBackend(rec, side, "i-a1", 50*time.Millisecond, true)
	b1.keeps = true
	var late []byte
	var beats []time.Time
	b1.skip = func(number int, body []byte) bool {
		b1.mu.Lock()
		defer b1.mu.Unlock()
		beats = append(beats, time.Now())
		if number == 1 && trouble {
			late = body
			rec.say("the first check-in of i-a1 is held up on its way")
			return true
		}
		return false
	}
	b1.start()
	f.until("the new backend holds keys", 10*time.Second, func() bool { return countKeys([]*backend{b1}) > 0 })
	time.Sleep(500 * time.Millisecond)

	// Everybody who is given keys is looked at.
	broken := false
	for _, b := range others {
		b.onHold = func(h held) {
			b1.mu.Lock()
			defer b1.mu.Unlock()
			now := time.Now()
			for _, own := range b1.holds {
				if own.from <= h.to && h.from <= own.to && now.Before(own.until) {
					rec.say("%s is given %d-%d with fence %d while i-a1 holds %d-%d with fence %d for %.2f s more",
						b.id, h.from, h.to, h.fence, own.from, own.to, own.fence, own.until.Sub(now).Seconds())
				}
			}
			for r := range b1.running {
				if h.from <= r.key && r.key <= h.to && holdEnd(b1, r.key).After(now) {
					rec.say("%s is given key %d at which i-a1 still works for request %s, whose hold ends in %.2f s", b.id, r.key, r.id, holdEnd(b1, r.key).Sub(now).Seconds())
					broken = true
				}
			}
		}
	}
	b1.mu.Lock()
	keys := []int{}
	for _, h := range b1.holds {
		keys = append(keys, h.from)
	}
	last := beats[len(beats)-1]
	b1.mu.Unlock()
	// Right after a check-in, requests begin at the new backend, the zone is evacuated, and the
	// router is killed.
	time.Sleep(time.Until(last.Add(beatInterval + 60*time.Millisecond)))
	for _, key := range keys[:min(len(keys), 6)] {
		go send(rec, others[0].m, request{method: "POST", host: "lanes.example", path: "/free/x", body: "{}", limit: 4500 * time.Millisecond,
			headers: map[string]string{"X-Endivespring-Shard-Key": fmt.Sprint(key), "X-Work-Ms": "4000"}})
	}
	time.Sleep(150 * time.Millisecond)
	if !order(rec, f, "POST", "/api/evacuations/a", "") {
		f.fail("the evacuation was not acknowledged")
	}
	if trouble {
		side.kill()
		b1.mu.Lock()
		last = beats[len(beats)-1]
		b1.mu.Unlock()
		// The process is started again right after a check-in has found nobody.
		time.Sleep(time.Until(last.Add(beatInterval + 40*time.Millisecond)))
		side.start()
		go func() {
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if status, _, err := b1.put("PUT", late); err == nil {
					rec.say("the first check-in of i-a1 arrives, %.2f s after it was sent: %d", time.Since(beats[0]).Seconds(), status)
					return
				}
			}
		}()
	}
	time.Sleep(6 * time.Second)
	return broken
}

// holdEnd returns when the backend's hold of a key ends. b.mu is held.
func holdEnd(b *backend, key int) time.Time {
	for _, h := range b.holds {
		if h.from <= key && key <= h.to {
			return h.until
		}
	}
	return time.Time{}
}

// countKeys returns how many keys the backends hold.
func countKeys(backends []*backend) int {
	n := 0
	for _, b := range backends {
		b.mu.Lock()
		for _, h := range b.holds {
			if time.Now().Before(h.until) {
				n += h.to - h.from + 1
			}
		}
		b.mu.Unlock()
	}
	return n
}
