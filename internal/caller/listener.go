package caller

import (
	"net"

	"endivespring/internal/clock"
	"endivespring/internal/memory"
)

// Listener accepts callers' connections as Connections.
type Listener struct {
	net.Listener
	clock  clock.Clock
	budget *memory.Budget
}

// NewListener returns a listener over another one. The requests on all its connections share
// a budget of memory, beside requestReserve each.
func NewListener(listener net.Listener, c clock.Clock, budget *memory.Budget) *Listener {
	return &Listener{Listener: listener, clock: c, budget: budget}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Connection{Conn: connection, clock: l.clock, memory: l.budget.Reserve()}, nil
}
