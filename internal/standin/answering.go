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

// answer writes a result, spoiled as its fault says.
func (s *Server) answer(c *fiber.Ctx, out *result) error {
	switch out.fault {
	case FaultLate:
		clock.Pause(s.group.Context(), out.delay)
	case FaultDuplicated, FaultTruncated, FaultReset, FaultSilent:
		spoiled := *out
		c.Context().HijackSetNoResponse(true)
		c.Context().Hijack(func(connection net.Conn) { s.spoil(connection, &spoiled) })
		return nil
	}
	c.Set(upstream.HeaderRequestID, out.requestID)
	if out.ran != "" {
		c.Set(upstream.HeaderRan, out.ran)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(upstream.HeaderChecksum, checksum(out.body))
	return c.Status(out.status).Send(out.body)
}

// spoil writes to the bare connection, which is closed afterwards.
func (s *Server) spoil(connection net.Conn, out *result) {
	whole := fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n\r\n%s", out.status,
		len(out.body), upstream.HeaderRequestID, out.requestID, upstream.HeaderChecksum, checksum(out.body), out.body)
	switch out.fault {
	case FaultDuplicated:
		_, _ = io.WriteString(connection, whole)
		clock.Pause(s.group.Context(), out.delay)
		_, _ = io.WriteString(connection, whole)
		_, _ = io.Copy(io.Discard, connection)
	case FaultTruncated:
		_, _ = io.WriteString(connection, whole[:len(whole)-len(out.body)/2])
	case FaultSilent:
		_, _ = io.Copy(io.Discard, connection)
	case FaultReset:
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

func checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
