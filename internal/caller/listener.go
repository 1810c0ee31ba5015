package caller

import (
	"net"

	"endivespring/internal/clock"
)

// Listener accepts callers' connections as Connections.
type Listener struct {
	net.Listener
	clock clock.Clock
}

// NewListener returns a listener over another one.
func NewListener(listener net.Listener, c clock.Clock) *Listener {
	return &Listener{Listener: listener, clock: c}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Connection{Conn: connection, clock: l.clock}, nil
}
