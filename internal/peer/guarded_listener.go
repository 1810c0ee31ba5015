package peer

import (
	"net"
	"time"
)

// guardedListener accepts connections that a guard limits.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept waits for the next connection. Those beyond the limit are closed.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConnection{Conn: connection, guard: l.guard, began: time.Now(), received: l.guard.budget.Reserve()}
		c.limit = time.AfterFunc(strangerTime, c.expire)
		if l.guard.add(c) {
			return c, nil
		}
		_ = c.Close()
	}
}
