package caller

import (
	"errors"
	"io"
	"net"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/httphead"
)

// ErrBodyTooLarge means that a body has more bytes than is allowed.
var ErrBodyTooLarge = eris.New("body too large")

// bufferSteps are the sizes of the slice in which a body in chunks is collected, in bytes. Beyond
// the last one, a slice of the limit is made.
var bufferSteps = []int{4 << 10, firstBytes, 512 << 10, 4 << 20}

// ReadBody checks the head of a request and reads its body of up to limit bytes. The slice is not
// used again. It returns httphead.ErrFieldName, ErrBodyTooLarge, ErrNoMemory, or the error of the
// read, and io.ErrUnexpectedEOF if the body ends too early.
func ReadBody(request *fasthttp.RequestCtx, limit int) ([]byte, error) {
	header := &request.Request.Header
	if err := httphead.CheckRequest(header); err != nil {
		return nil, err
	}
	if c, ok := request.Conn().(*Connection); ok && !c.holdHeader(header) {
		return nil, c.refuse()
	}
	body, err := readBody(request.Conn(), request.RequestBodyStream(), header.ContentLength(), limit)
	if err != nil {
		return nil, err
	}
	return body, httphead.CheckTrailer(header)
}

// holdElements makes the connection hold what a part of a header will take once it is parsed, which
// takes several times its bytes.
func (c *Connection) holdElements(part []byte) bool {
	marksHeaders := c.streams != nil && !c.memory.limits.FirstReads
	if !marksHeaders || c.inBody {
		return true
	}
	c.elements += countElements(part)
	c.header = elementsCost(c.elements)
	return c.header == 0 || c.holdReading(nil)
}

// holdHeader makes the connection hold what the header of its request takes, which was just read.
func (c *Connection) holdHeader(header *fasthttp.RequestHeader) bool {
	c.header = headerCost(header)
	return c.holdReading(nil)
}

// holdReading makes the connection hold what its request takes once p is read.
func (c *Connection) holdReading(p []byte) bool {
	// First reads may have overdrawn the budget.
	roomy := !c.memory.limits.FirstReads || c.memory.makeRoom(c.memory.limits.Connections, 1)
	if roomy && c.hold(readingCost, c.bodyBytes(p)) {
		return true
	}
	c.memory.countRefusal(RefusedReading)
	return false
}

func readBody(connection net.Conn, body io.Reader, length, limit int) ([]byte, error) {
	c, _ := connection.(*Connection)
	switch {
	case body == nil:
		return nil, nil
	case length > limit:
		return nil, ErrBodyTooLarge
	case length >= 0:
		return c.readWhole(body, length)
	default:
		return c.readChunks(body, limit)
	}
}

func (c *Connection) readWhole(body io.Reader, length int) ([]byte, error) {
	buffer, err := c.makeBuffer(length, 0)
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(body, buffer); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return buffer, nil
}

func (c *Connection) readChunks(body io.Reader, limit int) ([]byte, error) {
	var buffer []byte
	read, step := 0, 0
	for {
		if read == len(buffer) {
			larger, err := c.enlarge(body, buffer, step, limit)
			if err != nil || larger == nil {
				return buffer[:read:read], err
			}
			buffer, step = larger, step+1
		}
		n, err := body.Read(buffer[read:])
		read += n
		if errors.Is(err, io.EOF) {
			return buffer[:read:read], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// enlarge returns a larger copy of a full buffer, or nil if the body has ended. One at the limit
// is not enlarged: the body must end.
func (c *Connection) enlarge(body io.Reader, buffer []byte, step, limit int) ([]byte, error) {
	if len(buffer) >= limit {
		var next [1]byte
		switch n, err := io.ReadFull(body, next[:]); {
		case n > 0:
			return nil, ErrBodyTooLarge
		case !errors.Is(err, io.EOF):
			return nil, err
		default:
			return nil, nil
		}
	}
	size := limit
	if step < len(bufferSteps) {
		size = min(bufferSteps[step], limit)
	}
	larger, err := c.makeBuffer(size, len(buffer))
	if err != nil {
		return nil, err
	}
	copy(larger, buffer)
	return larger, nil
}

// makeBuffer makes a slice for the body of the request on a connection. A small one counts for
// the budget of connections. A nil connection has no limits.
func (c *Connection) makeBuffer(size, replaced int) ([]byte, error) {
	switch {
	case c == nil:
		return make([]byte, size), nil
	case size <= firstBytes:
		if !c.memory.grow(c.connection, c.memory.limits.Connections, readingCost+c.header+size) {
			c.memory.countRefusal(RefusedReading)
			return nil, c.refuse()
		}
		return make([]byte, size), nil
	}
	buffer := c.memory.makeBuffer(size, replaced)
	if buffer == nil {
		c.memory.countRefusal(RefusedReading)
		return nil, c.refuse()
	}
	c.large.Store(int64(size))
	return buffer, nil
}
