package upstream

import (
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"endivespring/internal/executor"
)

// memoryConnection is a connection that reads a text and then its end.
type memoryConnection struct {
	net.Conn
	text *strings.Reader
}

func newMemoryConnection(text string) *memoryConnection {
	return &memoryConnection{text: strings.NewReader(text)}
}

// Read reads from the text.
func (c *memoryConnection) Read(p []byte) (int, error) { return c.text.Read(p) }

// readAnswer reads the answer to the request id as a sender does.
func readAnswer(c *connection, dialect Dialect) executor.Outcome {
	run := newRun("id", "u", 0)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := c.read(response, testBody, run, dialect); err != nil {
		return failureOutcome(run, err)
	}
	return dialect.Decode(run, response)
}
