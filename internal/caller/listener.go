package caller

import (
	"net"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/memory"
	"endivespring/internal/peer"
)

// Limits of a LimitListener.
const (
	limitedConnections = 128
	limitedMemory      = 2 << 20 // bytes for buffers and the first 64 KiB of each body
)

// Listener accepts callers' connections as Connections.
type Listener struct {
	net.Listener
	memory *Memory
}

// NewListener returns a listener over another one, whose connections share the memory.
func NewListener(listener net.Listener, m *Memory) *Listener {
	return &Listener{Listener: peer.OnExhaustion(listener, m.freeDescriptors), memory: m}
}

// LimitListener returns a listener for few callers, such as operators or an upstream, with limits
// of its own: its connections share memory for bodies of the given size, beside limitedMemory.
func LimitListener(listener net.Listener, maxBody int, events event.Recorder) *Listener {
	return NewListener(listener, NewMemory(clock.NewMonotonic(), MemoryLimits{
		MaxConnections: limitedConnections, MaxBody: maxBody,
		Connections: memory.NewBudget(limitedMemory), Bodies: memory.NewBudget(maxBody), Answers: memory.NewBudget(maxBody),
	}, events))
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
