package main

import (
	"fmt"
	"sync"
	"time"
)

const drainConfiguration = `{"version":1,"base_version":0,"routes":{"r-1":{"host":"lanes.example","path_prefix":"/pay/","kind":"unsafe","timeout_s":3,"target_latency_s":1,"priority":1,"service":"lanes","max_attempts":2}},
"services":{"lanes":{"health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":23.0}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

// drain kills all processes of the core, which are back within a second. Meanwhile a backend
// leaves with DELETE, and the router beside it, which has acknowledged that, is killed. A
// check-in from before the DELETE arrives seconds late.
func drain(rec *record, f *fleet) bool {
	const drainTime, touch = 2 * time.Second, 3 * time.Second
	f.core()
	var all []*backend
	for i := range 6 {
		m := f.add(fmt.Sprint("side-", i+1), "router", string("abcabc"[i]), "lanes")
		all = append(all, newBackend(rec, m, fmt.Sprint("i-", i+1), 250*time.Millisecond, false))
	}
	f.startAll(drainConfiguration)
	for _, b := range all {
		b.start()
	}
	f.until("all backends are in use", 15*time.Second, func() bool {
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				send(rec, all[i%6].m, request{method: "POST", host: "lanes.example", path: "/pay/x", limit: 2 * time.Second})
			}()
		}
		wg.Wait()
		for _, b := range all {
			b.mu.Lock()
			n := len(b.began)
			b.mu.Unlock()
			if n == 0 {
				return false
			}
		}
		return true
	})
	gone := all[5]
	// The check-in that is sent last before the DELETE is held up on its way.
	var late []byte
	var lateSent time.Time
	gone.mu.Lock()
	gone.skip = func(number int, body []byte) bool {
		gone.mu.Lock()
		defer gone.mu.Unlock()
		if trouble && late == nil {
			late, lateSent = body, time.Now()
			return true
		}
		return false
	}
	gone.mu.Unlock()
	time.Sleep(beatInterval + 50*time.Millisecond)

	var lastEvent time.Time
	if trouble {
		for _, c := range f.controls() {
			c.kill()
		}
	}
	gone.mu.Lock()
	gone.quiet = true // nobody sends a check-in after its DELETE
	gone.mu.Unlock()
	if !gone.leave() {
		f.fail("the DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	if trouble {
		gone.m.kill()
		time.Sleep(300 * time.Millisecond)
		for _, c := range f.controls() {
			c.start()
		}
		gone.m.start()
		lastEvent = time.Now()
	}
	go func() {
		if !trouble {
			return
		}
		time.Sleep(time.Until(lastEvent.Add(touch + 200*time.Millisecond)))
		for range 20 {
			if status, _, err := gone.put("PUT", late); err == nil {
				rec.say("the check-in from before the DELETE arrives, %.2f s after it was sent: %d", time.Since(lateSent).Seconds(), status)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	// Clients go on all the while, on the other machines.
	time.Sleep(time.Until(acknowledged.Add(2500 * time.Millisecond)))
	var wg sync.WaitGroup
	failed := map[string]int{}
	var mu sync.Mutex
	// The backend ends 5.5 s after its acknowledgement.
	time.AfterFunc(time.Until(acknowledged.Add(5500*time.Millisecond)), gone.end)
	for end := acknowledged.Add(9 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := send(rec, all[lastRequest.Load()%5].m, request{method: "POST", host: "lanes.example", path: "/pay/x", limit: 2 * time.Second})
			mu.Lock()
			failed[fmt.Sprint(a.status)]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	rec.say("answers by status: %v", failed)
	counted := 0
	gone.mu.Lock()
	for _, r := range gone.began {
		if !sentBefore(r.id, acknowledged.Add(drainTime)) && !sentBefore(r.id, lastEvent.Add(touch)) {
			counted++
			rec.note("request %s reached the backend %.2f s after its departure was acknowledged", r.id, r.started.Sub(acknowledged).Seconds())
		}
	}
	gone.mu.Unlock()
	rec.say("%d requests reached the backend that is gone, later than %s after the acknowledgement and with all machines in touch", counted, drainTime)
	return counted > 0
}
