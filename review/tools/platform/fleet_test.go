package cases

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// site holds the bounds of a deployment that the programs and the stand-ins need.
type site struct {
	name      string
	zones     []string
	cores     []string // zone of each core machine
	tolerance int
	beat      time.Duration
}

var (
	pasaz = site{
		name: "pasaz-lido", zones: []string{"strefa-jeden", "strefa-dwa", "strefa-trzy", "strefa-cztery"},
		cores: []string{"strefa-jeden", "strefa-jeden", "strefa-dwa", "strefa-trzy", "strefa-cztery"}, tolerance: 2, beat: 870 * time.Millisecond,
	}
	tbv = site{
		name: "tbv-levy", zones: []string{"tbilisi-a", "tbilisi-b", "tbilisi-c", "tbilisi-d"},
		cores: []string{"tbilisi-a", "tbilisi-a", "tbilisi-b", "tbilisi-c", "tbilisi-d"}, tolerance: 2, beat: 1500 * time.Millisecond,
	}
)

const (
	drainTimeout = 2 * time.Second
	gracePeriod  = 6 * time.Second
	maxHold      = 10 * time.Second
	evacuation   = 5 * time.Second
)

// Offsets of the ports of a machine from the first port of the fleet.
const (
	portInternal = 0
	portInbound  = 20
	portApp      = 21
	portReady    = 22
	portOutbound = 24
	portControl  = 26
	portMetrics  = 30
	portCount    = 31
)

// machine is a VM of the fleet with its own loopback address and one process of the system.
type machine struct {
	fleet *fleet
	name  string
	class string
	zone  string
	ip    string
	// service is the service of the backend beside a router.
	service  string
	settings string
	logs     string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed once the process has been waited for.
	ended chan struct{}
}

type fleet struct {
	site     site
	root     string
	dir      string
	subnet   string
	port     int
	cores    []*machine
	sidecars []*machine
	record   *record
	logs     bool
}

// newFleet chooses a loopback subnet with free ports and a temporary folder.
func newFleet(s site, root string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	f := &fleet{site: s, root: root, dir: dir, record: r}
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		f.port = 10000 + rand.IntN(20000)
		if f.free(f.address(11, portControl)) && f.free(f.address(51, portControl)) {
			break
		}
	}
	return f, nil
}

func (f *fleet) free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func (f *fleet) address(host, offset int) string {
	return fmt.Sprintf("%s.%d:%d", f.subnet, host, f.port+offset)
}

func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.port+offset) }

// addCores adds the core machines of the site.
func (f *fleet) addCores() {
	for i, zone := range f.site.cores {
		f.cores = append(f.cores, &machine{fleet: f, name: fmt.Sprintf("core-%s-%d", zone, i+1), class: "core", zone: zone, ip: fmt.Sprintf("%s.%d", f.subnet, 11+i)})
	}
}

// addSidecar adds a sidecar machine of a service in a zone.
func (f *fleet) addSidecar(zone, service string) *machine {
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, len(f.sidecars)+1), class: "sidecar", zone: zone,
		ip: fmt.Sprintf("%s.%d", f.subnet, 51+len(f.sidecars)), service: service,
	}
	f.sidecars = append(f.sidecars, m)
	return m
}

// seeds returns the control_plane addresses of three core machines.
func (f *fleet) seeds() []string {
	var seeds []string
	for i := 0; i < len(f.cores) && i < 3; i++ {
		seeds = append(seeds, f.cores[len(f.cores)-1-i].address(portControl))
	}
	return seeds
}

// writeSettings writes the settings file of a machine, as the templates of the deploy
// file render it.
func (m *machine) writeSettings(firstStart bool) error {
	f := m.fleet
	var values map[string]any
	if m.class == "core" {
		data := filepath.Join(f.dir, m.name+"-data")
		if err := os.MkdirAll(data, 0o750); err != nil {
			return err
		}
		values = map[string]any{
			"fleet": "endivespring", "name": m.name, "dataCentre": m.zone, "dataFolder": data, "metrics": m.address(portMetrics),
			"discovery": map[string]any{"peer": m.address(portInternal), "seeds": f.seeds(), "firstStart": firstStart, "tolerance": f.site.tolerance},
			"frontEnd":  map[string]any{"name": "platform", "operator": m.address(portControl)},
			"timing":    map[string]any{"ownership": "5s", "view": "60s"},
		}
	} else {
		values = map[string]any{
			"fleet": "endivespring", "name": m.name, "dataCentre": m.zone, "peer": m.address(portInternal + 1), "control": f.seeds(),
			"controlPort": f.port + portInternal, "metrics": m.address(portMetrics), "service": m.service, "upstream": m.address(portApp),
			"maxBody": 67108864, "answerMemory": 16777216, "grace": "10s", "killAfter": gracePeriod.String(), "maxHold": maxHold.String(), "upstreamDrain": drainTimeout.String(),
			"frontEnd": map[string]any{"name": "platform", "caller": m.address(portOutbound), "announce": m.address(portControl), "ready": m.address(portReady)},
		}
	}
	data, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.name+".json")
	m.logs = filepath.Join(f.dir, m.name+".log")
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	f := m.fleet
	role := "router"
	if m.class == "core" {
		role = "control"
	}
	logs, err := os.OpenFile(m.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.root, "target/endivespring"), role, "--settings-variable", "ENDIVESPRING_NODE_FILE")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVESPRING_NODE_FILE=" + m.settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = logs.Close()
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		close(ended)
	}()
	f.record.add("process of %s starts", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
		m.fleet.record.add("signal %s to the process of %s", s, m.name)
	}
}

// running reports whether the machine's process runs.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// waitEnd waits for the end of the process, and kills it after the limit.
func (m *machine) waitEnd(limit time.Duration) {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(limit):
		m.signal(syscall.SIGKILL)
		<-ended
	}
	m.fleet.record.add("process of %s has ended", m.name)
}

// ready reports whether the readiness check of a router succeeds.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll writes all settings and starts all processes.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.cores...), f.sidecars...) {
		if err := m.writeSettings(true); err != nil {
			return err
		}
	}
	for _, m := range append(append([]*machine{}, f.cores...), f.sidecars...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all routers are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.sidecars {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop kills all processes and removes the folder.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine{}, f.cores...), f.sidecars...) {
		if m.running() {
			m.signal(syscall.SIGKILL)
			m.waitEnd(5 * time.Second)
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
