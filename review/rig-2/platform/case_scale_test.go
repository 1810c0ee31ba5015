package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const scaleServices = `"services":{"pay":{"health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":17.0},
"lanes":{"health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":17.0,"sharded":true,"warm_up_s":2.0,"grants":"heartbeat"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

const scaleFirst = `{"version":1,"base_version":0,"routes":{
"r-1":{"host":"lanes.example","path_prefix":"/pay/","kind":"unsafe","timeout_s":2,"target_latency_s":1,"priority":1,"service":"pay","max_attempts":2}},` + scaleServices

const scaleLater = `{"version":2,"base_version":1,"upsert":{"routes":{
"r-2":{"host":"lanes.example","path_prefix":"/lane/","kind":"unsafe","timeout_s":2,"target_latency_s":1,"priority":1,"service":"lanes","max_attempts":2}}},"remove":{}}`

// scale takes away the backends of a sharded service one after the other, each as planned,
// until one is left.
func scale(rec *record, f *fleet) bool {
	f.core()
	var lanes, all []*backend
	for i := range 8 {
		service := "lanes"
		if i >= 6 {
			service = "pay"
		}
		m := f.add(fmt.Sprint("side-", i+1), "router", string("abcabcab"[i]), service)
		b := newBackend(rec, m, fmt.Sprint("i-", i+1), 20*time.Millisecond, service == "lanes")
		all = append(all, b)
		if i < 6 {
			lanes = append(lanes, b)
		}
	}
	f.startAll(scaleFirst)
	for _, b := range all {
		b.start()
	}
	if !order(rec, f, "PATCH", "/api/configuration", scaleLater) {
		f.fail("the second configuration was not taken")
	}
	f.until("all keys are held", 20*time.Second, func() bool { return countKeys(lanes) == 65536 })
	before := shares(rec, all)
	rec.say("served with six backends: %.2f on the first route, %.2f on the later one", before[0], before[1])
	if trouble {
		for _, b := range lanes[1:] {
			b.mu.Lock()
			b.state = "draining"
			b.mu.Unlock()
			b.hurry <- struct{}{}
			time.Sleep(3 * time.Second)
			b.mu.Lock()
			b.quiet = true
			b.mu.Unlock()
			if !b.leave() {
				f.fail("a DELETE was not acknowledged")
			}
			time.Sleep(500 * time.Millisecond)
			b.end()
			b.m.signal(15) // a node receives SIGTERM after its backend has terminated
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(10 * time.Second)
	lanes[0].mu.Lock()
	rec.say("the last answer to a check-in of %s had %d bytes; an answer above 4096 acknowledges nothing", lanes[0].id, lanes[0].answered)
	lanes[0].mu.Unlock()
	after := shares(rec, []*backend{all[0], all[6], all[7]})
	rec.say("served at the end: %.2f on the first route, %.2f on the later one", after[0], after[1])
	return after[1] < after[0]/4
}

// shares sends 300 requests on each of the two routes and returns the shares that are served.
func shares(rec *record, at []*backend) [2]float64 {
	var served [2]float64
	var mu sync.Mutex
	var wg sync.WaitGroup
	const n = 300
	for range n {
		for i, path := range []string{"/pay/x", "/lane/x"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := request{method: "POST", host: "lanes.example", path: path, limit: 2 * time.Second,
					headers: map[string]string{"X-Endivespring-Shard-Key": fmt.Sprint(rand.IntN(65536))}}
				if a := send(rec, at[rand.IntN(len(at))].m, r); a.status == 200 {
					mu.Lock()
					served[i] += 1.0 / n
					mu.Unlock()
				}
			}()
		}
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return served
}
