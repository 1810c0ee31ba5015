package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"gotest.tools/v3/assert"
)

// Guards against malformed requests at the servers of the native interface. What follows on the
// connection is not read as a request.
func TestMiddlewareRefusesMalformedHeads(t *testing.T) {
	var handled atomic.Int64
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Use(Middleware)
	app.Post("/", func(c *fiber.Ctx) error {
		handled.Add(1)
		return c.SendStatus(fiber.StatusOK)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = app.Listener(listener) }()
	defer func() { _ = app.ShutdownWithTimeout(time.Second) }()
	for rest, status := range map[string]int{
		"Content-Length: 2\r\n\r\n{}": http.StatusOK, "\r\n": http.StatusOK,
		"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Name: v\r\n\r\n": http.StatusOK,
		"X Name: v\r\n\r\n": http.StatusBadRequest, "Content Length: 2\r\n\r\n{}": http.StatusBadRequest,
		"X: v\r\n more\r\n\r\n": http.StatusBadRequest,
		"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Name: v\r\n\r\n": http.StatusBadRequest,
	} {
		connection, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.Copy(connection, bytes.NewBufferString("POST / HTTP/1.1\r\nHost: h\r\n"+rest))
		assert.NilError(t, err)
		before, reader := handled.Load(), bufio.NewReader(connection)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, status, "%q", rest)
		_, _ = io.Copy(io.Discard, response.Body)
		if status != http.StatusOK {
			_, err = reader.ReadByte()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, handled.Load(), before)
		}
		assert.NilError(t, connection.Close())
	}
	assert.Equal(t, handled.Load(), int64(3))
}
