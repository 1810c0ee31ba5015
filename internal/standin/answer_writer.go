package standin

import (
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"endivespring/internal/clock"
)

// endlessBlock is the number of repetitions in one write of an answer without end.
const endlessBlock = 256

// writeAnswer writes a result as an HTTP response, with the fault of the result if
// it has one.
func (s *Server) writeAnswer(c *fiber.Ctx, res *result) error {
	if res.fault == FaultLate {
		clock.Pause(s.group.Context(), res.delay)
	}
	if res.fault.writesRaw() {
		faulty := *res
		c.Context().HijackSetNoResponse(true)
		c.Context().Hijack(func(connection net.Conn) { s.injectFault(connection, &faulty) })
		return nil
	}
	for name, value := range res.headers() {
		c.Set(name, value)
	}
	return c.Status(res.status).Send(res.body)
}

// injectFault writes a faulty answer directly to the connection, which is closed
// afterwards.
func (s *Server) injectFault(connection net.Conn, res *result) {
	whole := res.text()
	switch res.fault {
	case FaultDuplicated:
		_, _ = io.WriteString(connection, whole)
		clock.Pause(s.group.Context(), res.delay)
		_, _ = io.WriteString(connection, whole)
		_, _ = io.Copy(io.Discard, connection)
	case FaultTruncated:
		_, _ = io.WriteString(connection, whole[:len(whole)-len(res.body)/2])
	case FaultTruncatedHead:
		_, _ = io.WriteString(connection, res.headerText())
	case FaultEndlessHead:
		writeEndlessly(connection, res.headerText(), "X-More: more\r\n")
	case FaultEndlessBody:
		writeEndlessly(connection, res.headerText()+"\r\n", "more")
	case FaultRepeatedRefusal:
		_, _ = io.WriteString(connection, res.repeated+whole)
		_, _ = io.Copy(io.Discard, connection)
	case FaultNoAnswer:
		_, _ = io.Copy(io.Discard, connection)
	case FaultReset:
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

// writeEndlessly writes a text and then another one over and over until the connection
// is closed.
func writeEndlessly(connection net.Conn, first, repeated string) {
	_, err := io.WriteString(connection, first)
	for block := strings.Repeat(repeated, endlessBlock); err == nil; {
		_, err = io.WriteString(connection, block)
	}
}

func checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
