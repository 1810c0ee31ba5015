package caller

import (
	"io"
	"math/bits"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/clock"
	"endivespring/internal/memory"
)

const (
	// firstBytes of a body or answer are covered by the budget of connections, so that ordinary
	// requests are served while large ones have used up the budget of bodies.
	firstBytes = 64 << 10
	// readerBytes is the size of the front end's read buffer at most. Longer reads go directly
	// to the slice of the body.
	readerBytes = 32 << 10
	// idleCost is what a connection without a request holds: 3,400 of them took 42 MB.
	// readingCost, runningCost and writingCost are what others hold beside the body or answer,
	// with buffers and the request's header.
	idleCost    = 12 << 10
	readingCost = idleCost + readerBytes + 4<<10
	runningCost = idleCost + 4<<10
	writingCost = idleCost + 4<<10
	// smallRequest is what the header and the body of an ordinary request to a server for few
	// callers take.
	smallRequest = 4 << 10
	// writePiece is how much is written at once, so that the progress is known.
	writePiece = 64 << 10
)

// drainTime and maxDrained bound the reading of what a caller still sends when its request
// has been refused, in time and in bytes.
const (
	drainTime  = time.Second
	maxDrained = 64 << 20
)

// ErrNoMemory means that a request needs more memory than requests may use at the moment.
var ErrNoMemory = eris.New("not enough memory for the request")

// errCut means that the caller was too slow to take its answer while others needed the memory.
var errCut = eris.New("the connection was given up for its memory")

// Connection is a caller's connection that records when requests arrive on it, and withdraws
// what it holds from the budgets of its front end. It is owned by the goroutine that reads
// and writes on it; others may make it give up its memory.
type Connection struct {
	net.Conn
	memory *Memory
	slot   int
	// word is a phaseWord.
	word atomic.Int64
	// connection, body and answer are what is withdrawn from the budgets. large is the size of
	// the present request's buffer in bytes, which the buffer itself has withdrawn.
	connection, body, answer *memory.Reservation
	large                    atomic.Int64
	// streams is set if the front end reads bodies itself and its reader stays until the
	// connection is parked.
	streams *StreamListener
	// readDeadline is the deadline of reads that the front end has set.
	readDeadline time.Time
	// parked is set from when the front end was told that the connection has ended until a
	// request begins on it. first is the first byte of that request, once it is there.
	parked   atomic.Bool
	hasFirst bool
	first    byte
	// received is how many bytes of the present request have arrived.
	received int
	// header is what the header of the present request takes in bytes. elements is how many it had
	// when that was last estimated.
	header, elements int
	// inBody is set once the header of the present request was read.
	inBody bool
	// began is when the present phase began, movedAt when its last byte was received or sent, as
	// clock.Instant. moved is how many bytes that were.
	began, movedAt, moved atomic.Int64
	// cut is set once the connection was given up while an answer was written. The front end may
	// replace the deadline of writes after that.
	cut atomic.Bool
	// refused is set once a request was refused before it was read as a whole.
	refused atomic.Bool
	// receivedAt is when the bytes that were read last arrived.
	receivedAt clock.Instant
	// unreadSince is when bytes of the next request were first seen while an earlier
	// one was answered, or zero.
	unreadSince clock.Instant
}

func newConnection(connection net.Conn, m *Memory) *Connection {
	c := &Connection{
		Conn: connection, memory: m, connection: m.limits.Connections.Reserve(), body: m.limits.Bodies.Reserve(), answer: m.limits.Answers.Reserve(),
	}
	c.movedAt.Store(int64(m.clock.Now()))
	return c
}

func (c *Connection) phaseWord() phaseWord { return phaseWord(c.word.Load()) }

func (c *Connection) inPhase(p phase) bool { return c.phaseWord().phase() == p }

// enter begins a phase. It returns false if the connection was given up. The times are stored
// first, since others judge a phase by them as soon as it has begun.
func (c *Connection) enter(p phase) bool {
	for {
		old := c.phaseWord()
		if old.phase() == phaseGivenUp {
			return false
		}
		now := int64(c.memory.clock.Now())
		c.began.Store(now)
		c.movedAt.Store(now)
		c.moved.Store(0)
		if c.word.CompareAndSwap(int64(old), int64(old.next(p))) {
			return true
		}
	}
}

// giveUp makes a connection that is still in the phase that was judged give back its memory at
// once. A read or write in progress on it fails.
func (c *Connection) giveUp(judged phaseWord) bool {
	if !c.word.CompareAndSwap(int64(judged), int64(judged.next(phaseGivenUp))) {
		return false
	}
	c.release()
	now := time.Now()
	if judged.phase() == phaseWriting {
		c.cut.Store(true)
		_ = c.Conn.SetWriteDeadline(now)
	}
	_ = c.Conn.SetReadDeadline(now)
	return true
}

func (c *Connection) release() {
	c.connection.Release()
	c.body.Release()
	c.large.Store(0)
	c.answer.Release()
}

// usage returns what the connection holds of a budget.
func (c *Connection) usage(budget *memory.Budget, now clock.Instant) memory.Usage {
	u := memory.Usage{
		Moved: int(c.moved.Load()), Age: now.Sub(clock.Instant(c.began.Load())), Pause: now.Sub(clock.Instant(c.movedAt.Load())),
	}
	switch budget {
	case c.memory.limits.Connections:
		u.Bytes = c.connection.Taken()
	case c.memory.limits.Bodies:
		u.Bytes = c.body.Taken() + int(c.large.Load())
	default:
		u.Bytes = c.answer.Taken()
	}
	return u
}

// hold makes the connection hold what a phase and the request's header cost, and the given number
// of bytes of a body.
func (c *Connection) hold(cost, bytes int) bool {
	m := c.memory
	return m.grow(c.connection, m.limits.Connections, cost+c.header+min(bytes, firstBytes)) && m.grow(c.body, m.limits.Bodies, max(0, bytes-firstBytes))
}

// Read reads from the connection and records when the bytes arrived. It returns ErrNoMemory
// once the request has grown beyond what the budgets allow, or was given up for others.
func (c *Connection) Read(p []byte) (int, error) {
	if c.hasFirst {
		p[0], c.hasFirst = c.first, false
		return 1, nil
	}
	if c.lingers(p) {
		return c.linger(p)
	}
	if !c.prepare(p) {
		return 0, c.refuse()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.countReceived(n)
	}
	if err != nil && c.inPhase(phaseGivenUp) || !c.holdElements(p[:n]) {
		return 0, c.refuse()
	}
	return n, err
}

func (c *Connection) countReceived(n int) {
	c.receivedAt = c.memory.clock.Now()
	c.movedAt.Store(int64(c.receivedAt))
	c.moved.Add(int64(n))
	if c.unreadSince > 0 {
		c.receivedAt = c.unreadSince
	}
	c.received += n
}

// prepare withdraws what a read into p needs. Front ends wait for the first byte of a request
// with a slice of one byte, and hold no buffer meanwhile.
func (c *Connection) prepare(p []byte) bool {
	if len(p) <= 1 && !c.inPhase(phaseReading) {
		return c.rest(idleCost)
	}
	first := !c.inPhase(phaseReading)
	if first && !c.enter(phaseReading) {
		return false
	}
	if c.inBody && c.Conn.SetReadDeadline(time.Now().Add(time.Duration(c.memory.pause.Load()))) != nil {
		return false
	}
	if c.inPhase(phaseGivenUp) { // checked after the deadline was set, which giveUp replaces
		return false
	}
	if first {
		return c.holdFirst(p)
	}
	return c.holdReading(p)
}

// holdFirst withdraws what the first read of a request needs.
func (c *Connection) holdFirst(p []byte) bool {
	if c.memory.limits.FirstReads {
		c.connection.Force(readingCost + smallRequest)
		return true
	}
	return c.holdReading(p)
}

// rest begins a phase without a request, in which the connection holds the given cost at most.
func (c *Connection) rest(cost int) bool {
	c.body.Release()
	c.large.Store(0)
	c.answer.Release()
	c.connection.Shrink(cost)
	c.received, c.header, c.elements, c.inBody = 0, 0, 0, false
	return c.enter(phaseIdle)
}

// bodyBytes returns what the slice of the body takes before a read into p. The front end
// rounds it up to a power of two, and refuses bodies above the limit: what arrives beyond is
// the framing of chunks, which is not kept. A slice that served a larger body before counts
// like one that was made for this one.
func (c *Connection) bodyBytes(p []byte) int {
	if c.streams != nil {
		return min(rounded(c.received), firstBytes)
	}
	if len(p) <= readerBytes {
		return c.capped(rounded(c.received))
	}
	return c.capped(min(c.received+cap(p), rounded(c.received+len(p))))
}

// rounded returns the size of the slice in which the front end collects that many bytes.
func rounded(bytes int) int {
	if bytes <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(bytes-1))
}

// capped bounds the bytes that count for a body. A slice that has grown beyond the limit on
// bodies is not used there, and the system provides only memory that is used.
func (c *Connection) capped(bytes int) int {
	return min(bytes, int(c.memory.maxBody.Load())+firstBytes)
}

// refuse returns the error of a read for which there is no memory.
func (c *Connection) refuse() error {
	if c.received > 0 {
		c.refused.Store(true)
	}
	return ErrNoMemory
}

// Write writes to the connection in pieces, and records its progress. It fails once the
// connection was given up while an answer was written.
func (c *Connection) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		if c.cut.Load() {
			return written, errCut
		}
		n, err := c.Conn.Write(p[:min(len(p), writePiece)])
		written += n
		if n > 0 {
			c.movedAt.Store(int64(c.memory.clock.Now()))
			c.moved.Add(int64(n))
		}
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// SetReadDeadline sets the deadline of reads. One as far ahead as BodyReadTimeout means that
// the body follows.
func (c *Connection) SetReadDeadline(at time.Time) error {
	c.readDeadline = at
	cost, ends := headerEnd(time.Until(at))
	if c.inBody = ends; ends {
		c.header = cost
		at = time.Now().Add(time.Duration(c.memory.pause.Load()))
	}
	return c.Conn.SetReadDeadline(at)
}

// Close closes the connection and gives back its memory. If the caller may still send a
// refused request, that is read and dropped first: a connection that is closed with unread
// bytes is reset, and the refusal would be lost. One that was parked stays open.
func (c *Connection) Close() error {
	if c.parked.Load() && c.streams.park(c) {
		return nil
	}
	for word := c.phaseWord(); !c.word.CompareAndSwap(int64(word), int64(word.next(phaseGivenUp))); {
		word = c.phaseWord()
	}
	c.release()
	defer c.memory.remove(c)
	if c.refused.CompareAndSwap(true, false) {
		c.connection.Force(idleCost)
		c.drain()
		c.connection.Release()
	}
	return c.Conn.Close()
}

func (c *Connection) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(drainTime)) != nil {
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

// RefusedUnread reports whether the request on a connection was refused for lack of memory.
// Front ends do not always pass the error of the read on.
func RefusedUnread(connection net.Conn) bool {
	c, ok := connection.(*Connection)
	return ok && c.refused.Load()
}

// StartRequest records that the request on a connection was read, and that it holds its header and
// a body of the given number of bytes from now on. It returns false if there is no memory for it.
func StartRequest(connection net.Conn, header *fasthttp.RequestHeader, bytes int) bool {
	c, ok := connection.(*Connection)
	if !ok {
		return true
	}
	c.header = headerCost(header)
	if !c.enter(phaseRunning) {
		return false
	}
	c.answer.Release()
	cost := runningCost
	if c.streams != nil {
		cost, bytes = runningCost+readerBytes, min(bytes, firstBytes)
	}
	bytes = c.capped(bytes)
	c.connection.Shrink(cost + c.header + min(bytes, firstBytes))
	c.body.Shrink(max(0, bytes-firstBytes))
	if c.hold(cost, bytes) {
		return true
	}
	c.memory.countRefusal(RefusedReading)
	return false
}

// StartAnswer gives back the memory of the request on a connection, which is not used any more,
// and withdraws what an answer takes until it is written. It returns false if there is no
// memory for a large one: one at a time may overdraw the budget, since what it answers was run.
// Small ones are always delivered: the system's buffer takes them also if the caller does not
// read.
func StartAnswer(connection net.Conn, bytes int) bool {
	c, ok := connection.(*Connection)
	if !ok {
		return true
	}
	c.received, c.header, c.elements, c.inBody = 0, 0, 0, false
	c.body.Release()
	c.large.Store(0)
	cost := writingCost + min(bytes, firstBytes)
	if c.streams != nil {
		cost += readerBytes
	}
	c.connection.Shrink(cost)
	c.connection.Force(cost)
	if m := c.memory; bytes > firstBytes && !m.grow(c.answer, m.limits.Answers, bytes-firstBytes) && !c.answer.Overdraw(bytes-firstBytes) {
		m.countRefusal(RefusedAnswer)
		return false
	}
	return c.enter(phaseWriting)
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
		c.unreadSince = c.memory.clock.Now()
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
