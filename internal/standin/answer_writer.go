package standin

import (
	"fmt"
	"io"
	"net"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"endivespring/internal/clock"
	"endivespring/internal/upstream"
)

// writeAnswer writes a result as an HTTP response, with the fault of the result if
// it has one.
func (s *Server) writeAnswer(c *fiber.Ctx, res *result) error {
	switch res.fault {
	case FaultLate:
		clock.Pause(s.group.Context(), res.delay)
	case FaultDuplicated, FaultTruncated, FaultReset, FaultNoAnswer:
		faulty := *res
		c.Context().HijackSetNoResponse(true)
		c.Context().Hijack(func(connection net.Conn) { s.injectFault(connection, &faulty) })
		return nil
	}
	c.Set(upstream.HeaderRequestID, res.requestID)
	if res.ran != "" {
		c.Set(upstream.HeaderRan, res.ran)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(upstream.HeaderChecksum, checksum(res.body))
	return c.Status(res.status).Send(res.body)
}

// injectFault writes a faulty answer directly to the connection, which is closed
// afterwards.
func (s *Server) injectFault(connection net.Conn, res *result) {
	whole := fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s", res.status,
		len(res.body), upstream.HeaderRequestID, res.requestID, upstream.HeaderChecksum, checksum(res.body), res.body)
	switch res.fault {
	case FaultDuplicated:
		_, _ = io.WriteString(connection, whole)
		clock.Pause(s.group.Context(), res.delay)
		_, _ = io.WriteString(connection, whole)
		_, _ = io.Copy(io.Discard, connection)
	case FaultTruncated:
		_, _ = io.WriteString(connection, whole[:len(whole)-len(res.body)/2])
	case FaultNoAnswer:
		_, _ = io.Copy(io.Discard, connection)
	case FaultReset:
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

func checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
