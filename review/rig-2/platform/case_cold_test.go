package main

import (
	"fmt"
	"sync"
	"time"
)

const coldConfiguration = `{"version":1,"base_version":0,"routes":{"r-1":{"host":"lanes.example","path_prefix":"/pay/","kind":"unsafe","timeout_s":2,"target_latency_s":0.5,"priority":1,"service":"lanes","max_attempts":2}},
"services":{"lanes":{"health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":3,"cold_per_s":17.0}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

// cold evacuates a zone and takes that back. The backends of the zone become cold shortly
// before, right after a check-in.
func cold(rec *record, f *fleet) bool {
	const perSecond, factor, slack = 17.0, 1.5, 5.0 // cold_per_s, cold_rate_factor, cold_slack
	f.core()
	var all []*backend
	for i := range 4 {
		m := f.add(fmt.Sprint("side-", i+1), "router", string("aabb"[i]), "lanes")
		all = append(all, newBackend(rec, m, fmt.Sprint("i-", i+1), 40*time.Millisecond, false))
	}
	f.startAll(coldConfiguration)
	for _, b := range all {
		b.start()
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	failed := map[string]int{}
	var mu sync.Mutex
	go func() {
		ticker := time.NewTicker(2 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := send(rec, all[lastRequest.Load()%4].m, request{method: "POST", host: "lanes.example", path: "/pay/x", limit: time.Second})
				mu.Lock()
				failed[fmt.Sprint(a.status)]++
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	if !order(rec, f, "POST", "/api/evacuations/a", "") {
		f.fail("the evacuation was not acknowledged")
	}
	time.Sleep(4 * time.Second)
	all[0].afterBeat(func() {})
	time.Sleep(beatInterval - 250*time.Millisecond)
	bound, broken := perSecond*factor+slack, false
	for _, b := range all[:2] {
		b.mu.Lock()
		b.crashAt = int(1.5 * bound) // "crashes at a rate well above that"
		b.mu.Unlock()
		if trouble {
			go b.afterBeat(func() {
				b.coldUntil, b.coldFrom = time.Now().Add(3*time.Second), time.Now()
				rec.say("backend %s becomes cold", b.id)
			})
		}
	}
	if !order(rec, f, "DELETE", "/api/evacuations/a", "") {
		f.fail("the evacuation was not taken back")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	rec.say("answers by status: %v", failed)
	for _, b := range all[:2] {
		most := b.mostWhileCold()
		rec.say("the cold backend %s got %d requests in one second; the bound is %.1f", b.id, most, bound)
		broken = broken || float64(most) > bound
	}
	return broken
}

// mostWhileCold returns the most requests that clients sent and that arrived in any one second in
// which the backend was cold.
func (b *backend) mostWhileCold() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := 0
	for _, first := range b.arrivals {
		sent, ok := sentAt.Load(first.id)
		if !ok || sent.(time.Time).Before(b.coldFrom) {
			continue
		}
		from, n := sent.(time.Time), 0
		for _, a := range b.arrivals {
			if !sentBefore(a.id, from) && a.started.Sub(from) < time.Second && a.started.Before(b.coldUntil) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
