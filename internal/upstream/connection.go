package upstream

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/httphead"
	"endivespring/internal/memory"
	"endivespring/internal/peer"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which an idle connection is not reused. It is
	// below the idle timeouts that HTTP servers commonly have.
	idleTimeout       = 4 * time.Second
	maxStrayResponses = 2        // late responses to earlier requests skipped before the matching one
	maxStrayBody      = 64 << 10 // body size in bytes of a response that does not name the request
	maxRefusals       = 64       // refusals after which a connection is not reused
	readBuffer        = 4 << 10  // read buffer size in bytes; also the limit on a response header
	lengthUntilClose  = -2       // fasthttp's content length for a body terminated by connection close
)

var (
	errStray = eris.New("too many responses to earlier requests before the matching response")
	// errNoMemory means that an answer is larger than the memory that answers may use.
	errNoMemory = eris.New("not enough memory for the response")
)

// connection is an HTTP/1.1 connection to an upstream. It carries one request at
// a time, without pipelining.
type connection struct {
	address  string
	net      net.Conn
	answer   *answerReader
	reader   *bufio.Reader
	lastUsed clock.Instant
	// requests counts the requests written.
	requests int
	// refused holds the IDs of the requests that the upstream refused.
	refused map[string]bool
	// atEOF is set after a response whose body was terminated by connection close.
	atEOF bool
}

func dial(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) }

func connect(address string, now clock.Instant, budget *memory.Budget) (*connection, error) {
	c, err := dial(address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return newConnection(address, c, now, budget), nil
}

func newConnection(address string, c net.Conn, now clock.Instant, budget *memory.Budget) *connection {
	answer := newAnswerReader(c, budget)
	return &connection{address: address, net: c, answer: answer, reader: bufio.NewReaderSize(answer, readBuffer), lastUsed: now, refused: map[string]bool{}}
}

// reusable reports whether a request may be sent: the connection leads to address, was
// used recently, has not been closed by the upstream, and has no unread bytes. A request
// that was refused on it must go to another one, where a repetition of that refusal
// cannot be taken for a new one.
func (c *connection) reusable(address, requestID string, now clock.Instant) bool {
	return !c.refused[requestID] && len(c.refused) < maxRefusals && c.address == address && now.Sub(c.lastUsed) < idleTimeout && c.reader.Buffered() == 0 && peer.SocketStateOf(c.net) == peer.SocketQuiet
}

// markIdle clears the deadline of the finished request and records the time of use.
func (c *connection) markIdle(now clock.Instant) {
	c.lastUsed = now
	_ = c.net.SetDeadline(time.Time{})
}

// read reads the first response that answers a run, or one terminated by connection
// close, which nothing can follow. The body may have up to maxBody bytes, that of a
// response that does not name the run's request maxStrayBody. It skips at most
// maxStrayResponses others.
func (c *connection) read(response *fasthttp.Response, maxBody int, run *executor.Run, dialect Dialect) error {
	defer c.answer.release()
	for range maxStrayResponses + 1 {
		response.Reset()
		if err := httphead.Read(c.reader, &response.Header); err != nil {
			return err
		}
		limit := min(maxBody, c.answer.limit())
		if !dialect.Names(run, response) {
			limit = min(limit, maxStrayBody)
		}
		if run.Call.Method != fasthttp.MethodHead { // its answer states the length of a body that does not follow
			if err := c.readBody(response, limit); err != nil {
				return err
			}
		}
		if dialect.Answers(run, response) || c.atEOF {
			return nil
		}
	}
	return errStray
}

// readAnswer reads the next response, whose body may have up to maxBody bytes.
func (c *connection) readAnswer(response *fasthttp.Response, maxBody int) error {
	defer c.answer.release()
	if err := httphead.Read(c.reader, &response.Header); err != nil {
		return err
	}
	return c.readBody(response, min(maxBody, c.answer.limit()))
}

func (c *connection) readBody(response *fasthttp.Response, maxBody int) error {
	status := response.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := response.Header.ContentLength()
	if length == lengthUntilClose {
		return c.readUntilClose(response, maxBody)
	}
	if length > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	if !c.answer.reserve(length) {
		return errNoMemory
	}
	if err := response.ReadBody(c.reader, maxBody); err != nil {
		return err
	}
	if length >= 0 {
		return nil
	}
	return httphead.ReadTrailer(c.reader, &response.Header)
}

// readUntilClose reads a body terminated by connection close. A reset is reported as
// an error, since the body may be truncated.
func (c *connection) readUntilClose(response *fasthttp.Response, maxBody int) error {
	body, err := io.ReadAll(io.LimitReader(c.reader, int64(maxBody)+1))
	if err != nil {
		return err
	}
	if len(body) > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	response.SetBodyRaw(body)
	c.atEOF = true
	return nil
}

// setDeadline sets the deadline of pending reads and writes to grace from now. It may
// be called while another goroutine uses the connection.
func (c *connection) setDeadline(grace time.Duration) { _ = c.net.SetDeadline(time.Now().Add(grace)) }

func (c *connection) close() { _ = c.net.Close() }
