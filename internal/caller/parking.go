package caller

import (
	"cmp"
	"errors"
	"io"
	"os"
	"time"
)

const (
	// ReaderBytes is the size of the read buffer of a front end that uses a StreamListener.
	ReaderBytes = readerBytes
	// lingerTime is how long a connection may be idle before it is parked.
	lingerTime = time.Second
)

// lingers reports whether a read waits for the next request: the front end's read buffer is empty,
// and the present request was read.
func (c *Connection) lingers(p []byte) bool {
	return c.streams != nil && !c.inBody && len(p) == cmp.Or(c.memory.limits.Reader, ReaderBytes) && !c.inPhase(phaseReading)
}

// linger waits for the first bytes of the next request, and parks the connection if none come.
func (c *Connection) linger(p []byte) (int, error) {
	if !c.rest(idleCost + ReaderBytes) {
		return 0, c.refuse()
	}
	until := time.Now().Add(lingerTime)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(until) {
		until = c.readDeadline
	}
	if err := c.Conn.SetReadDeadline(until); err != nil {
		return 0, err
	}
	if c.inPhase(phaseGivenUp) { // checked after the deadline was set, which giveUp replaces
		return 0, c.refuse()
	}
	n, err := c.Conn.Read(p)
	switch {
	case n > 0:
		return c.beginRequest(p[:n])
	case c.inPhase(phaseGivenUp):
		return 0, c.refuse()
	case errors.Is(err, os.ErrDeadlineExceeded) && (c.readDeadline.IsZero() || time.Now().Before(c.readDeadline)):
		c.connection.Shrink(idleCost)
		c.parked.Store(true)
		return 0, io.EOF
	default:
		return 0, err
	}
}

// beginRequest records the first bytes of a request that was lingered for.
func (c *Connection) beginRequest(first []byte) (int, error) {
	if !c.enter(phaseReading) {
		return 0, c.refuse()
	}
	c.countReceived(len(first))
	if !c.holdFirst(nil) || !c.holdElements(first) {
		return 0, c.refuse()
	}
	return len(first), nil
}

// awaitRequest waits for the first byte of the next request on a parked connection, and has the
// front end accept it.
func (c *Connection) awaitRequest() {
	var first [1]byte
	n := 0
	if c.Conn.SetReadDeadline(c.readDeadline) == nil && !c.inPhase(phaseGivenUp) && c.streams.ctx.Err() == nil {
		n, _ = c.Conn.Read(first[:])
	}
	c.parked.Store(false)
	if n == 0 || c.inPhase(phaseGivenUp) {
		_ = c.Close()
		return
	}
	c.first, c.hasFirst = first[0], true
	c.countReceived(n)
	if c.streams.accepted.Put(c.streams.ctx, acceptedConnection{connection: c}) != nil {
		_ = c.Close()
	}
}
