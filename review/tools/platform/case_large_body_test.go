package cases

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB = 284 // limits.memory_mb of a sidecar machine of pasaz-lido
	// largeBytes is the length of the large body, within max_body_bytes.
	largeBytes = 64000000
	smallBytes = 300
)

func init() { cases["large-body"] = largeBody }

// largeBody lets two clients send a request each with a body that the limits of the desired state
// allow, while others send small ones on kept connections. The platform ends a process that
// uses more than memory_mb. No more than three requests on kept connections that were passed on
// to a backend may stay without an answer (LOST).
func largeBody(e *env) (int, error) {
	f, err := newFleet(pasaz, e.root, e.record)
	if err != nil {
		return cannot, err
	}
	defer f.stop()
	f.addCores()
	var backends []*backend
	for i, zone := range pasaz.zones {
		backends = append(backends, newBackend(f.addSidecar(zone, "zapisy"), fmt.Sprintf("i-%d", i+1), "zapisy", false, 160*time.Millisecond, nil))
	}
	state := desiredState(1, 0,
		map[string]route{
			"wolne-tory":   {Host: "tory.example", PathPrefix: "/tory/", Kind: "safe", Timeout: 2.5, TargetLatency: 0.4, Priority: 2, Service: "zapisy", MaxAttempts: 2},
			"rezerwuj-tor": {Host: "tory.example", PathPrefix: "/rezerwuj/", Kind: "unsafe", Timeout: 1.5, TargetLatency: 0.5, Priority: 1, Service: "zapisy", MaxAttempts: 2},
		},
		map[string]service{"zapisy": plainService()})
	if _, err := begin(f, state); err != nil {
		return cannot, err
	}
	for _, b := range backends {
		if err := b.start(); err != nil {
			return cannot, err
		}
		defer b.crash()
	}
	for _, m := range f.sidecars {
		if err := waitServed(newClient(m, true), 20*time.Second); err != nil {
			return cannot, err
		}
	}
	time.Sleep(3 * time.Second)
	m := f.sidecars[0]
	done := make(chan struct{})
	killed := watchMemory(f, done)

	// 24 clients at one machine, each with one kept connection.
	var wait sync.WaitGroup
	var mu sync.Mutex
	var unanswered []answer
	stop := time.Now().Add(8 * time.Second)
	for range 24 {
		c := newClient(m, true)
		wait.Go(func() {
			for first := true; time.Now().Before(stop); first = false {
				a := c.send("POST", "tory.example", "/rezerwuj/1", -1, bytes.Repeat([]byte("b"), smallBytes), 3*time.Second)
				if a.status == 0 && !first {
					mu.Lock()
					unanswered = append(unanswered, a)
					mu.Unlock()
				}
				if a.status == 0 {
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	size := smallBytes
	if e.trouble {
		size = largeBytes
	}
	e.record.say("%s uses %d MB; two clients there send a request with a body of %d bytes each", m.name, m.memory(), size)
	for range 2 {
		wait.Go(func() {
			a := newClient(m, true).send("POST", "tory.example", "/rezerwuj/2", -1, bytes.Repeat([]byte("x"), size), 3*time.Second)
			e.record.say("one of them gets %d %v after %d ms", a.status, a.err, a.received.Sub(a.sent).Milliseconds())
		})
	}
	wait.Wait()
	e.record.say("%s has used up to %d MB", m.name, m.peak())
	close(done)

	ran := map[string]bool{}
	for _, b := range backends {
		for _, r := range b.allRuns() {
			ran[r.id] = true
		}
	}
	lost := 0
	for _, a := range unanswered {
		if ran[a.id] && a.received.Sub(a.sent) < 1400*time.Millisecond {
			lost++
			e.record.add("request %s on a kept connection had begun at a backend and got no answer: %v", a.id, a.err)
		}
	}
	e.record.say("processes ended for their memory: %d; requests on kept connections that were passed on and not answered: %d", killed.count(), lost)
	if lost > 3 {
		e.record.say("LOST is broken")
		return broken, nil
	}
	return held, nil
}

// ends counts processes that the platform ended.
type ends struct {
	mu sync.Mutex
	n  int
}

func (k *ends) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.n
}

// watchMemory acts as the platform: it kills a router that uses more than memory_mb, and
// starts it again after a short delay.
func watchMemory(f *fleet, done <-chan struct{}) *ends {
	k := &ends{}
	for _, m := range f.sidecars {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(2 * time.Millisecond):
				}
				if used := m.memory(); used > memoryMB {
					f.record.say("%s uses %d MB, its limit is %d MB", m.name, used, memoryMB)
					m.signal(syscall.SIGKILL)
					m.waitEnd(time.Second)
					k.mu.Lock()
					k.n++
					k.mu.Unlock()
					time.Sleep(500 * time.Millisecond)
					if err := m.start(); err != nil {
						f.record.say("start %s: %v", m.name, err)
						return
					}
				}
			}
		}()
	}
	return k
}

// status returns a field of the memory figures of the machine's process, in MB.
func (m *machine) status(name string) int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, name+":") {
			kb, err := strconv.Atoi(strings.Fields(line)[1])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

func (m *machine) memory() int { return m.status("VmRSS") }

func (m *machine) peak() int { return m.status("VmHWM") }
