// Package platform plays the cases of the third review: it starts the programs of the deploy file
// as separate processes on loopback addresses, with small stand-ins for servers, clients and the
// platform, and judges what these have seen.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines.
type ports struct{ outbound, announce, ready, internal0, internal1, server int }

// machine is one machine with its one process of the system.
type machine struct {
	name, role, ip, zone, service string
	first                         bool
	fleet                         *fleet
	mu                            sync.Mutex
	command                       *exec.Cmd
	log                           *os.File
	ended                         chan struct{}
	stopped                       bool
	// ownEnds counts ends of the process that the rig did not cause.
	ownEnds int
}

// fleet is a small deployment.
type fleet struct {
	binary, folder string
	ports          ports
	cores, sides   []*machine
	seeds          []*machine
	record         *record
}

func freePorts(n int) []int {
	var out []int
	var held []net.Listener
	for len(out) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		held = append(held, l)
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range held {
		_ = l.Close()
	}
	return out
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		cleanUp()
		os.Exit(2)
	}
}

// newFleet prepares cores and one side machine for each service named, in zones by turns.
func newFleet(binary string, cores int, services []string, rec *record) *fleet {
	folder, err := os.MkdirTemp("", "rig3-")
	check(err)
	p := freePorts(6)
	f := &fleet{binary: binary, folder: folder, ports: ports{p[0], p[1], p[2], p[3], p[4], p[5]}, record: rec}
	net3 := 16 + os.Getpid()%200
	for i := range cores {
		f.cores = append(f.cores, &machine{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: fmt.Sprintf("127.%d.1.%d", net3, i+1), zone: zoneOf(i), fleet: f, first: true})
	}
	f.seeds = slices.Clone(f.cores)
	for i, s := range services {
		f.sides = append(f.sides, &machine{name: fmt.Sprintf("side-%d", i+1), role: "router", ip: fmt.Sprintf("127.%d.2.%d", net3, i+1), zone: zoneOf(i), service: s, fleet: f, first: true})
	}
	return f
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings renders what the templates of the deploy file render.
func (m *machine) settings() map[string]any {
	p := m.fleet.ports
	var seeds []string
	for i := range min(3, len(m.fleet.cores)) {
		seeds = append(seeds, m.fleet.seeds[i].addr(p.announce))
	}
	if m.role == "control" {
		return map[string]any{
			"fleet": "endivespring", "name": m.name, "dataCentre": m.zone, "dataFolder": filepath.Join(m.fleet.folder, m.name),
			"metrics": m.addr(9464), "memoryMB": 280,
			"discovery": map[string]any{"peer": m.addr(p.internal0), "seeds": seeds, "firstStart": m.first, "tolerance": (len(m.fleet.cores) - 1) / 2},
			"placement": map[string]any{"interleave": 24, "byCapacity": true}, "gcPercent": 40,
			"frontEnd": map[string]any{"name": "platform", "operator": m.addr(p.announce)},
			"timing":   map[string]any{"ownership": "5s", "view": "60s"},
		}
	}
	return map[string]any{
		"fleet": "endivespring", "name": m.name, "dataCentre": m.zone, "peer": m.addr(p.internal1), "control": seeds, "controlPort": p.internal0,
		"metrics": m.addr(9464), "service": m.service, "upstream": m.addr(p.server), "maxBody": 67108864, "answerMemory": 16777216, "memoryMB": 184,
		"grace": "10s", "killAfter": "6s", "maxHold": "10s", "upstreamDrain": "2s", "gcPercent": 40, "load": map[string]any{"learnCapacity": true},
		"frontEnd": map[string]any{"name": "platform", "caller": m.addr(p.outbound), "announce": m.addr(p.announce), "ready": m.addr(p.ready)},
	}
}

func (m *machine) start() {
	file := filepath.Join(m.fleet.folder, m.name+".json")
	data, err := json.MarshalIndent(m.settings(), "", " ")
	check(err)
	check(os.WriteFile(file, data, 0o600))
	if m.role == "control" {
		check(os.MkdirAll(filepath.Join(m.fleet.folder, m.name), 0o700))
	}
	if m.log == nil {
		m.log, err = os.Create(filepath.Join(m.fleet.folder, m.name+".log"))
		check(err)
	}
	c := exec.Command(m.fleet.binary, m.role, "--settings-variable", "ENDIVESPRING_NODE_FILE")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ENDIVESPRING_NODE_FILE=" + file}
	c.Stdout, c.Stderr = m.log, m.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	remember(c.Process)
	m.mu.Lock()
	m.command, m.ended, m.stopped, m.first = c, make(chan struct{}), false, false
	ended := m.ended
	m.mu.Unlock()
	go func() {
		err := c.Wait()
		m.mu.Lock()
		if !m.stopped {
			m.ownEnds++
			m.fleet.record.line("own end of %s: %v", m.name, err)
		}
		m.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to the process; ends tells that the process may end by it.
func (m *machine) signal(s syscall.Signal, ends bool) {
	m.mu.Lock()
	m.stopped = m.stopped || ends
	c := m.command
	m.mu.Unlock()
	_ = c.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL, true)
	<-m.ended
}

// start starts all machines and waits until routers are ready, after a configuration was sent.
func (f *fleet) start() {
	for _, m := range append(append([]*machine{}, f.cores...), f.sides...) {
		m.start()
	}
}

func (f *fleet) stop() {
	for _, m := range append(append([]*machine{}, f.cores...), f.sides...) {
		if m.command != nil {
			m.signal(syscall.SIGCONT, false)
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// order sends an order to the cores by turns until it gets a clear answer, and returns its status.
func (f *fleet) order(method, path string, body []byte, limit time.Duration) int {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		if code, _ := f.orderAt(f.cores[i%len(f.cores)], method, path, body); code >= 200 && code < 300 || code >= 400 && code < 500 && code != 408 && code != 429 {
			return code
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// orderAt sends an order to one core and follows two redirects.
func (f *fleet) orderAt(m *machine, method, path string, body []byte) (int, []byte) {
	url := "http://" + m.addr(f.ports.announce) + path
	client := &http.Client{Timeout: 1500 * time.Millisecond, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		r, err := http.NewRequest(method, url, bytes.NewReader(body))
		check(err)
		r.Header.Set("Content-Type", "application/json")
		response, err := client.Do(r)
		if err != nil {
			return 0, []byte(err.Error())
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil
		}
		if response.StatusCode == http.StatusTemporaryRedirect {
			url = response.Header.Get("Location")
			continue
		}
		return response.StatusCode, data
	}
	return 0, nil
}

// awaitReady waits until a router answers its readiness check with 200.
func (m *machine) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.addr(m.fleet.ports.ready) + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+strings.TrimSuffix(format, "\n")+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

var (
	childrenMu sync.Mutex
	children   []*os.Process
)

func remember(p *os.Process) {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	children = append(children, p)
}

// cleanUp kills all processes that the rig started.
func cleanUp() {
	childrenMu.Lock()
	defer childrenMu.Unlock()
	for _, p := range children {
		_ = p.Kill()
	}
}
