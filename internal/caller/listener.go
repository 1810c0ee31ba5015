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
	// LimitedReaderBytes is the size of the read buffer of a front end that uses a LimitListener, and
	// so the limit on headers.
	LimitedReaderBytes = 16 << 10
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
// of its own: its connections share memory for bodies of the given size, beside limitedMemory. The
// front end serves it with WithinMemory.
func LimitListener(listener net.Listener, maxBody int, events event.Recorder) *StreamListener {
	bodies := memory.NewBudget(maxBody)
	buffers := memory.NewBuffers(bodies)
	l := NewStreamListener(listener, NewMemory(clock.NewMonotonic(), MemoryLimits{
		MaxConnections: limitedConnections, MaxBody: maxBody, Reader: LimitedReaderBytes, FirstReads: true,
		Connections: memory.NewBudget(limitedMemory), Bodies: bodies, Answers: memory.NewBudget(maxBody), Buffers: buffers,
	}, events))
	go func() { _ = buffers.Run(l.ctx) }()
	return l
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
