package caller

import (
	"net"
	"syscall"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
)

// Connection is a caller's connection that records when requests arrive on it. It is
// owned by the goroutine that reads from it.
type Connection struct {
	net.Conn
	clock clock.Clock
	// receivedAt is when the bytes that were read last arrived.
	receivedAt clock.Instant
	// unreadSince is when bytes of the next request were first seen while an earlier
	// one was answered, or zero.
	unreadSince clock.Instant
}

// Read reads from the connection and records when the bytes arrived.
func (c *Connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedAt = c.clock.Now()
		if c.unreadSince > 0 {
			c.receivedAt = c.unreadSince
		}
	}
	return n, err
}

// SyscallConn returns the raw connection, or an error if this is no socket.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("not a socket")
	}
	return socket.SyscallConn()
}

// markUnread records that bytes are there to read while a request is answered.
func (c *Connection) markUnread() {
	if c.unreadSince == 0 {
		c.unreadSince = c.clock.Now()
	}
}

// takeArrival returns when a request that was just read arrived: now, or earlier if it
// waited for the answer to the request before it on the connection.
func takeArrival(connection net.Conn, now clock.Instant) clock.Instant {
	c, ok := connection.(*Connection)
	if !ok || c.receivedAt == 0 {
		return now
	}
	c.unreadSince = 0
	return min(now, c.receivedAt)
}
