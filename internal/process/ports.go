// Package process starts and stops processes of the product on the local machine, for
// scenarios and fault injection.
package process

import (
	"net"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
)

// The range lies below the ephemeral ports of the system. An outgoing connection could
// take an ephemeral port while the process that should listen on it is down.
const (
	firstPort = 10000
	lastPort  = 32000
)

// Ports allocates free loopback addresses. It is not safe for concurrent use.
type Ports struct{ next int }

// NewPorts returns an allocator. Its first port depends on the process id, so that
// concurrent test processes rarely try the same ports.
func NewPorts() *Ports { return &Ports{next: firstPort + os.Getpid()*89%(lastPort-firstPort)} }

// Address returns the next address on which a listener could be opened. The port is
// free again when Address returns. Ports repeat only after the whole range.
func (p *Ports) Address() (string, error) {
	for range lastPort - firstPort {
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(p.next))
		if err != nil {
			continue
		}
		return listener.Addr().String(), eris.Wrap(listener.Close(), "close port probe")
	}
	return "", eris.New("no free port")
}
