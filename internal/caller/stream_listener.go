package caller

import (
	"context"
	"net"

	"endivespring/internal/peer"
	"endivespring/internal/ring"
)

// acceptedConnections is how many connections may wait for the front end to serve them.
const acceptedConnections = 64

// StreamListener accepts callers' connections as Connections for a front end that reads bodies
// with ReadBody. The front end keeps its reader from request to request. If none begins for
// lingerTime, the connection is parked: the front end is told that it has ended, which frees
// the reader, and accepts it again with the next request.
type StreamListener struct {
	net.Listener
	memory   *Memory
	accepted *ring.Ring[acceptedConnection]
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewStreamListener returns a listener over another one, whose connections share the memory. The
// read buffer of the front end must have ReaderBytes.
func NewStreamListener(listener net.Listener, m *Memory) *StreamListener {
	l := &StreamListener{Listener: peer.OnExhaustion(listener, m.freeDescriptors), memory: m, accepted: ring.New[acceptedConnection]("accepted-connections", acceptedConnections, ring.Wait)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	go l.run()
	return l
}

// run accepts new connections until the listener fails or is closed. Those beyond the limit are
// closed.
func (l *StreamListener) run() {
	for l.ctx.Err() == nil {
		connection, err := l.Listener.Accept()
		if err != nil {
			_ = l.accepted.Put(l.ctx, acceptedConnection{err: err})
			continue
		}
		c := newConnection(connection, l.memory)
		c.streams = l
		if !l.memory.add(c) {
			_ = connection.Close()
			continue
		}
		if l.accepted.Put(l.ctx, acceptedConnection{connection: c}) != nil {
			_ = c.Close()
		}
	}
}

// Accept waits for a new connection, or a parked one on which a request begins.
func (l *StreamListener) Accept() (net.Conn, error) {
	next, err := l.accepted.Take(l.ctx)
	switch {
	case err != nil:
		return nil, net.ErrClosed
	case next.err != nil:
		return nil, next.err
	default:
		return next.connection, nil
	}
}

// Close stops accepting connections, and closes those that are parked.
func (l *StreamListener) Close() error {
	l.cancel()
	err := l.Listener.Close()
	l.memory.closeParked()
	for next, ok := l.accepted.Poll(); ok; next, ok = l.accepted.Poll() {
		if next.connection != nil {
			_ = next.connection.Close()
		}
	}
	return err
}

// park waits for the next request of a connection. It returns false if the listener is closed.
func (l *StreamListener) park(c *Connection) bool {
	if l.ctx.Err() != nil {
		c.parked.Store(false)
		return false
	}
	go c.awaitRequest()
	return true
}
