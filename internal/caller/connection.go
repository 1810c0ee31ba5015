package caller

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
	"endivespring/internal/memory"
)

// requestReserve is the number of bytes of a request that need no budget, so that ordinary
// requests are read while others have used it up.
const requestReserve = 64 << 10

// drainTime and maxDrained bound the reading of what a caller still sends when its request
// has been refused, in time and in bytes.
const (
	drainTime  = time.Second
	maxDrained = 64 << 20
)

// ErrNoMemory means that a request needs more memory than requests may use at the moment.
var ErrNoMemory = eris.New("not enough memory for the request")

// Connection is a caller's connection that records when requests arrive on it, and withdraws
// what they need from the budget of all requests. It is owned by the goroutine that reads
// from it.
type Connection struct {
	net.Conn
	clock clock.Clock
	// memory is what the present request has withdrawn, and received its bytes so far.
	memory   *memory.Reservation
	received int
	// refused is set once a request was refused before it was read as a whole.
	refused atomic.Bool
	// receivedAt is when the bytes that were read last arrived.
	receivedAt clock.Instant
	// unreadSince is when bytes of the next request were first seen while an earlier
	// one was answered, or zero.
	unreadSince clock.Instant
}

// Read reads from the connection and records when the bytes arrived. It returns ErrNoMemory
// once the request has grown beyond what the budget allows.
func (c *Connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedAt = c.clock.Now()
		if c.unreadSince > 0 {
			c.receivedAt = c.unreadSince
		}
	}
	c.received += n
	if !c.memory.Grow(c.received - requestReserve) {
		c.refused.Store(true)
		return 0, ErrNoMemory
	}
	return n, err
}

// Close closes the connection and gives back the memory of its request. If the caller may
// still send a refused request, that is read and dropped first: a connection that is closed
// with unread bytes is reset, and the refusal would be lost.
func (c *Connection) Close() error {
	c.memory.Release()
	if c.refused.CompareAndSwap(true, false) {
		c.drain()
	}
	return c.Conn.Close()
}

func (c *Connection) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDrained))
}

// RefuseUnread records that the request on a connection is refused although it was not read
// as a whole.
func RefuseUnread(connection net.Conn) {
	if c, ok := connection.(*Connection); ok {
		c.refused.Store(true)
	}
}

// EndRequest gives back the memory of the request that was read last on a connection, whose
// body is not used any more.
func EndRequest(connection net.Conn) {
	if c, ok := connection.(*Connection); ok {
		c.received = 0
		c.memory.Release()
	}
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
