package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/memory"
)

// errStranger means that a connection has sent too much before it named the fleet.
var errStranger = eris.New("the connection has not named the fleet")

// guardedConnection is a connection with limits until it is admitted.
type guardedConnection struct {
	net.Conn
	guard *Guard
	began time.Time
	limit *time.Timer
	// released is set once the connection was admitted or closed.
	admitted, released atomic.Bool
	// bytes is how many bytes were received, received what is withdrawn for them.
	bytes    int
	received *memory.Reservation
}

// Read reads from the connection, and fails once it has sent too much.
func (c *guardedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.admitted.Load() {
		return n, err
	}
	c.bytes += n
	if c.bytes > strangerFree && !c.received.Grow(c.bytes-strangerFree) {
		return 0, errStranger
	}
	if c.released.Load() {
		c.received.Release()
	}
	return n, err
}

// admit lifts the limits.
func (c *guardedConnection) admit() {
	if !c.admitted.Swap(true) {
		c.limit.Stop()
		c.release()
	}
}

// expire closes the connection unless it was admitted.
func (c *guardedConnection) expire() {
	if !c.admitted.Load() {
		_ = c.Close()
	}
}

// Close closes the connection and gives back what it holds.
func (c *guardedConnection) Close() error {
	c.limit.Stop()
	c.release()
	return c.Conn.Close()
}

func (c *guardedConnection) release() {
	c.released.Store(true)
	c.received.Release()
	c.guard.remove(c)
}
