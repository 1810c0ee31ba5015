package upstream

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/clock"
	"endivespring/internal/peer"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleLimit is the unused time after which a connection is given up. It is
	// below the idle time-outs that HTTP servers commonly have.
	idleLimit   = 4 * time.Second
	maxInterim  = 4       // interim answers (1xx) before the real one
	maxStray    = 2       // late answers of earlier requests before the real one
	readBuffer  = 4 << 10 // bytes read at once; also the longest header
	unboundedly = -2      // fasthttp's length of a body that ends with its connection
)

var (
	errInterim = eris.New("too many interim answers")
	errStray   = eris.New("too many answers of other requests")
)

// connection is one connection to an upstream. It carries one request at a time.
type connection struct {
	address string
	net     net.Conn
	reader  *bufio.Reader
	used    clock.Instant
	// ended is set once an answer ended with the connection.
	ended bool
}

func dial(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) }

func connect(address string, now clock.Instant) (*connection, error) {
	c, err := dial(address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return &connection{address: address, net: c, reader: bufio.NewReaderSize(c, readBuffer), used: now}, nil
}

// reusable reports whether another request may be sent: the connection is
// fresh, not closed by the upstream, and no stray bytes wait on it.
func (c *connection) reusable(address string, now clock.Instant) bool {
	return c.address == address && now.Sub(c.used) < idleLimit && c.reader.Buffered() == 0 && peer.Look(c.net) == peer.SocketQuiet
}

// rest lifts the deadline of the request that has ended.
func (c *connection) rest(now clock.Instant) {
	c.used = now
	_ = c.net.SetDeadline(time.Time{})
}

// read takes one whole answer of up to maxBody bytes, the first for which
// answers reports true.
func (c *connection) read(response *fasthttp.Response, maxBody int, answers func() bool) error {
	for range maxStray + 1 {
		response.Reset()
		if err := c.readOne(response, maxBody); err != nil {
			return err
		}
		if answers() || c.ended {
			return nil
		}
	}
	return errStray
}

func (c *connection) readOne(response *fasthttp.Response, maxBody int) error {
	if err := c.readHeader(response); err != nil {
		return err
	}
	status := response.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := response.Header.ContentLength()
	if length == unboundedly {
		return c.readToEnd(response, maxBody)
	}
	if err := response.ReadBody(c.reader, maxBody); err != nil {
		return err
	}
	if length >= 0 {
		return nil
	}
	return response.Header.ReadTrailer(c.reader)
}

// readToEnd takes a body that ends with its connection. A reset cuts it off.
func (c *connection) readToEnd(response *fasthttp.Response, maxBody int) error {
	body, err := io.ReadAll(io.LimitReader(c.reader, int64(maxBody)+1))
	if err != nil {
		return err
	}
	if len(body) > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	response.SetBodyRaw(body)
	c.ended = true
	return nil
}

func (c *connection) readHeader(response *fasthttp.Response) error {
	for range maxInterim {
		if err := response.Header.Read(c.reader); err != nil {
			return err
		}
		if status := response.StatusCode(); status < 100 || status > 199 {
			return nil
		}
	}
	return errInterim
}

// expire makes what is under way fail no later than a grace from now. It may
// be called while another goroutine uses the connection.
func (c *connection) expire(grace time.Duration) { _ = c.net.SetDeadline(time.Now().Add(grace)) }

func (c *connection) close() { _ = c.net.Close() }
