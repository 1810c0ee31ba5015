package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const memoryConfiguration = `{"version":1,"base_version":0,"routes":{
"r-1":{"host":"lanes.example","path_prefix":"/pay/","kind":"unsafe","timeout_s":3,"target_latency_s":1,"priority":1,"service":"lanes","max_attempts":2},
"r-2":{"host":"lanes.example","path_prefix":"/file/","kind":"unsafe","timeout_s":20,"target_latency_s":10,"priority":2,"service":"lanes","max_attempts":2}},
"services":{"lanes":{"health_check_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":17.0}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`

const memoryLimit = 284 // MiB, of a router's process (memory_mb)

// memory lets two clients upload bodies as long as the configuration allows, in chunks. The
// platform ends a process that uses more memory than its machine allows.
func memory(rec *record, f *fleet) bool {
	f.core()
	var all []*backend
	for i := range 4 {
		m := f.add(fmt.Sprint("side-", i+1), "router", string("abca"[i]), "lanes")
		all = append(all, newBackend(rec, m, fmt.Sprint("i-", i+1), 100*time.Millisecond, false))
	}
	f.startAll(memoryConfiguration)
	for _, b := range all {
		b.start()
	}
	time.Sleep(2 * time.Second)
	m, end := all[0].m, time.Now().Add(20*time.Second)
	var wg sync.WaitGroup
	kept := &keptClients{rec: rec, m: m, end: end}
	for range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			kept.run()
		}()
	}
	if trouble {
		for range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) {
					upload(rec, m, 64<<20, 25<<20)
				}
			}()
		}
	}
	peak, kills := 0, 0
	for time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		used := memoryOf(m)
		peak = max(peak, used)
		if used > memoryLimit {
			kills++
			rec.say("process %s uses %d MiB; its machine has %d: the platform ends it", m.name, used, memoryLimit)
			m.signal(syscall.SIGKILL)
			<-m.done
			time.Sleep(500 * time.Millisecond)
			m.start()
		}
	}
	wg.Wait()
	// Requests that were passed on from a kept connection which was then closed.
	began := map[string]bool{}
	for _, b := range all {
		b.mu.Lock()
		for _, r := range b.began {
			began[r.id] = true
		}
		b.mu.Unlock()
	}
	cut := 0
	for _, id := range kept.cut {
		if began[id] {
			cut++
			rec.note("request %s was passed on, and its kept connection closed without an answer", id)
		}
	}
	rec.say("%d answers on kept connections; peak of the router %d MiB, ended %d times", kept.answered.Load(), peak, kills)
	rec.say("%d requests from kept connections were passed on to a sound backend and cut; the bound is 3", cut)
	return cut > 3
}

// memoryOf returns the memory of a process in MiB, without the pages of its program file.
func memoryOf(m *machine) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "RssAnon:") {
			kilobytes := 0
			_, _ = fmt.Sscan(strings.Fields(line)[1], &kilobytes)
			return kilobytes / 1024
		}
	}
	return 0
}

// upload sends a body in chunks of 64 KiB at a rate in bytes a second.
func upload(rec *record, m *machine, size, rate int) {
	id := fmt.Sprintf("%016x", lastRequest.Add(1)+0xa0000000)
	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	began := time.Now()
	rec.note("client uploads %s, %d bytes", id, size)
	fmt.Fprintf(c, "POST /file/x HTTP/1.1\r\nHost: lanes.example\r\nX-Endivespring-Request-Id: %s\r\nX-Endivespring-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	const chunk = 64 << 10
	data := strings.Repeat("y", chunk)
	for sent := 0; sent < size; sent += chunk {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", chunk, data); err != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(rate) * 1e9))))
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		rec.note("client's upload %s: %v", id, err)
		return
	}
	response.Body.Close()
	rec.note("client's upload %s: %d after %.2f s", id, response.StatusCode, time.Since(began).Seconds())
	if response.StatusCode == 503 {
		time.Sleep(time.Second) // as Retry-After says
	}
}

// keptClients send one request after the other, each on a connection that it keeps.
type keptClients struct {
	rec      *record
	m        *machine
	end      time.Time
	answered atomic.Int64
	mu       sync.Mutex
	cut      []string
}

func (k *keptClients) run() {
	for time.Now().Before(k.end) {
		c, err := net.DialTimeout("tcp", k.m.address(portOutbound), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		k.use(c)
		c.Close()
	}
}

func (k *keptClients) use(c net.Conn) {
	reader := bufio.NewReader(c)
	for used := 0; time.Now().Before(k.end); used++ {
		id := fmt.Sprintf("%016x", lastRequest.Add(1)+0xa0000000)
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		k.rec.note("client sends %s, the %dth on its connection", id, used+1)
		if _, err := fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: lanes.example\r\nX-Endivespring-Request-Id: %s\r\nX-Endivespring-Deadline-Ms: 2500\r\nContent-Length: 2\r\n\r\n{}", id); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			k.rec.note("client gets no answer to %s: %v", id, err)
			if used > 0 && !os.IsTimeout(err) {
				k.mu.Lock()
				k.cut = append(k.cut, id)
				k.mu.Unlock()
			}
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		k.rec.note("client gets %s: %d", id, response.StatusCode)
		k.answered.Add(1)
		if response.Close {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
