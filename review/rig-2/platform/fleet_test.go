package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// fleet starts the processes of a small deployment on loopback addresses, with the command
// lines and settings templates of the deploy file. Every machine has an address of its own.
type fleet struct {
	rec      *record
	root     string // of the repository
	folder   string // temporary
	net      int    // second number of the addresses
	port     int    // first of the ports, the same on all machines
	machines map[string]*machine
	order    []string
	seeds    []string
}

// machine is a machine with one process of the system.
type machine struct {
	f        *fleet
	name     string
	role     string // router or control
	zone     string
	service  string
	ip       string
	settings string
	started  bool
	command  *exec.Cmd
	done     chan struct{}
}

// Ports of a machine, counted from fleet.port.
const (
	portInternal = 0 // to 3
	portInbound  = 4
	portUpstream = 5
	portReady    = 6
	portOutbound = 7
	portControl  = 8
	ports        = 9
)

func newFleet(rec *record) *fleet {
	root, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[0]), ".."))
	check(err)
	folder, err := os.MkdirTemp("", "rig2-")
	check(err)
	f := &fleet{rec: rec, root: root, folder: folder, machines: map[string]*machine{}}
	for {
		f.net, f.port = 16+rand.IntN(200), 20000+ports*rand.IntN(3000)
		if f.portsFree() {
			return f
		}
	}
}

func (f *fleet) portsFree() bool {
	for i := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", f.net, f.port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func check(err error) {
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
}

// add adds a machine; it is not started.
func (f *fleet) add(name, role, zone, service string) *machine {
	m := &machine{f: f, name: name, role: role, zone: zone, service: service, ip: fmt.Sprintf("127.%d.1.%d", f.net, len(f.order)+1)}
	f.machines[name] = m
	f.order = append(f.order, name)
	if role == "control" && len(f.seeds) < 3 {
		f.seeds = append(f.seeds, m.address(portControl))
	}
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.f.port+port) }

// controls returns the machines of the core.
func (f *fleet) controls() []*machine { return f.ofRole("control") }

func (f *fleet) routers() []*machine { return f.ofRole("router") }

func (f *fleet) ofRole(role string) []*machine {
	var out []*machine
	for _, name := range f.order {
		if m := f.machines[name]; m.role == role {
			out = append(out, m)
		}
	}
	return out
}

// fields are those of the infrastructure's settings file.
func (m *machine) fields(first bool) map[string]any {
	var seeds []any
	for _, s := range m.f.seeds {
		seeds = append(seeds, s)
	}
	return map[string]any{
		"node": m.name, "zone": m.zone, "region": "r", "ip_address": m.ip, "service": m.service,
		"internal_port_range": []any{m.f.port + portInternal, m.f.port + portInternal + 3},
		"seeds":               seeds, "first_start": first, "data_directory": filepath.Join(m.f.folder, m.name),
		"application_address": m.address(portUpstream),
		"listen_addresses": map[string]any{
			"inbound": m.address(portInbound), "outbound": m.address(portOutbound), "ready": m.address(portReady), "control_plane": m.address(portControl),
		},
		"limits":          map[string]any{"memory_mb": 284},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds":          map[string]any{"grace_period_s": 6, "max_hold_s": 10, "drain_timeout_s": 2},
	}
}

// start starts the machine's process.
func (m *machine) start() {
	template, err := os.ReadFile(filepath.Join(m.f.root, "deploy", m.role+".json"))
	check(err)
	text := render(string(template), m.fields(!m.started))
	var parsed any
	check(json.Unmarshal([]byte(text), &parsed))
	check(os.MkdirAll(filepath.Join(m.f.folder, m.name), 0o750))
	m.settings = filepath.Join(m.f.folder, m.name+".json")
	check(os.WriteFile(m.settings, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(m.f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command(filepath.Join(m.f.root, "target", "endivespring"), m.role, "--settings-variable", "ENDIVESPRING_NODE_FILE")
	c.Dir, c.Stdout, c.Stderr = m.f.root, log, log
	c.Env = []string{"ENDIVESPRING_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(c.Start())
	_ = log.Close()
	m.started, m.command, m.done = true, c, make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(m.done)
	m.f.rec.note("process %s started", m.name)
}

func (m *machine) signal(s syscall.Signal) {
	m.f.rec.say("process %s gets %s", m.name, s)
	_ = m.command.Process.Signal(s)
}

// kill ends the process at once and waits until it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

func (m *machine) running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// stopAll ends every process.
func (f *fleet) stopAll() {
	for _, name := range f.order {
		m := f.machines[name]
		if m.command != nil && m.running() {
			_ = m.command.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

func sleepUntil(rec *record, at float64) {
	if d := at - rec.since(); d > 0 {
		time.Sleep(time.Duration(d * float64(time.Second)))
	}
}
