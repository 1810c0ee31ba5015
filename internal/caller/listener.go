package caller

import "net"

// Listener accepts callers' connections as Connections.
type Listener struct {
	net.Listener
	memory *Memory
}

// NewListener returns a listener over another one, whose connections share the memory.
func NewListener(listener net.Listener, m *Memory) *Listener {
	return &Listener{Listener: listener, memory: m}
}

// Accept waits for the next connection. Those beyond the limit are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConnection(connection, l.memory)
		if l.memory.add(c) {
			return c, nil
		}
		_ = connection.Close()
	}
}
