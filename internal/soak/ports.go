package soak

import (
	"net"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
)

// Ports lie below those that the system gives to outgoing connections, which
// could take a port while its process is down.
const (
	firstPort = 10000
	lastPort  = 32000
)

// ports gives out loopback addresses that nobody listens on.
type ports struct{ next int }

func newPorts() *ports { return &ports{next: firstPort + os.Getpid()*89%(lastPort-firstPort)} }

func (p *ports) address() (string, error) {
	for range lastPort - firstPort {
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(p.next))
		if err != nil {
			continue
		}
		return listener.Addr().String(), eris.Wrap(listener.Close(), "free a port")
	}
	return "", eris.New("no free port")
}
