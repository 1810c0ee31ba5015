package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["late-order"] = lateOrder }

// heldUp is how late the first attempt arrives: within ack_timeout_s, 4 s.
const heldUp = 3 * time.Second

// lateOrder evacuates a zone, takes that back, and evacuates it again. The first attempt to
// take it back is held up on its way; the operator gets no answer within a second, closes the
// connection and sends the order to another node. The attempt arrives after the zone was
// evacuated again. No request may reach a backend there later than evacuation_s after the last
// acknowledgement (EVAC).
func lateOrder(e *env) (int, error) {
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
		map[string]route{"rezerwuj-tor": {Host: "tory.example", PathPrefix: "/tory/", Kind: "unsafe", Timeout: 2.5, TargetLatency: 0.5, Priority: 1, Service: "zapisy", MaxAttempts: 2}},
		map[string]service{"zapisy": plainService()})
	o, err := begin(f, state)
	if err != nil {
		return cannot, err
	}
	for _, b := range backends {
		if err := b.start(); err != nil {
			return cannot, err
		}
		defer b.crash()
	}
	if err := waitServed(newClient(f.sidecars[0], true), 20*time.Second); err != nil {
		return cannot, err
	}
	done := make(chan struct{})
	defer close(done)
	go load(f, done)
	time.Sleep(3 * time.Second)
	path := "/api/evacuations/" + pasaz.zones[1]
	if err := o.mustOrder("POST", path, nil, 4*time.Second); err != nil {
		return cannot, err
	}
	leader := f.leader()
	if leader == nil {
		return cannot, fmt.Errorf("no leader found")
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.record.say("the operator takes the evacuation back; its first attempt is held up")
		link, err := newSlowLink(leader, heldUp)
		if err != nil {
			return cannot, err
		}
		defer link.close()
		if status, _ := o.call("DELETE", "http://"+link.address()+path, nil, time.Second); status != 0 {
			return cannot, fmt.Errorf("the attempt that is held up was answered: %d", status)
		}
		e.record.say("the operator gives the attempt up after a second and goes on to another node")
	}
	if err := o.mustOrder("DELETE", path, nil, 4*time.Second); err != nil {
		return cannot, err
	}
	time.Sleep(500 * time.Millisecond)
	if err := o.mustOrder("POST", path, nil, 4*time.Second); err != nil {
		return cannot, err
	}
	acknowledged := time.Now()
	e.record.say("the evacuation of %s is acknowledged again", pasaz.zones[1])
	time.Sleep(evacuation + 5*time.Second)
	late := 0
	for _, r := range backends[1].allRuns() {
		if r.at.Sub(acknowledged) > evacuation {
			late++
		}
	}
	e.record.say("%d requests reached %s in %s later than %s after the acknowledgement", late, backends[1].id, pasaz.zones[1], evacuation)
	if late > 0 {
		e.record.say("EVAC is broken")
		return broken, nil
	}
	return held, nil
}

// leader returns the core machine to which the others redirect.
func (f *fleet) leader() *machine {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, m := range f.cores {
		response, err := client.Get("http://" + m.address(portControl) + "/api/configuration")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return m
		}
	}
	return nil
}

// slowLink is a network path to the control_plane address of a machine. It delivers what one
// connection sends, and its end, with a delay.
type slowLink struct {
	listener net.Listener
	to       *machine
	delay    time.Duration
}

func newSlowLink(to *machine, delay time.Duration) (*slowLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &slowLink{listener: listener, to: to, delay: delay}
	go l.run()
	return l, nil
}

func (l *slowLink) address() string { return l.listener.Addr().String() }

func (l *slowLink) close() { _ = l.listener.Close() }

func (l *slowLink) run() {
	client, err := l.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	accepted := time.Now()
	sent, _ := io.ReadAll(client) // until the client closes its connection
	time.Sleep(time.Until(accepted.Add(l.delay)))
	server, err := net.Dial("tcp", l.to.address(portControl))
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	_, _ = server.Write(sent)
	_ = server.(*net.TCPConn).CloseWrite()
	line, _ := bufio.NewReader(server).ReadString('\n')
	l.to.fleet.record.say("%q arrives at %s -> %s", strings.SplitN(string(sent), "\r\n", 2)[0], l.to.name, strings.TrimSpace(line))
}
