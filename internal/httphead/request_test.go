package httphead

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a head within the limit that is refused for bytes which it does not have.
func TestRequestLengthIsThatReceived(t *testing.T) {
	for _, head := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a?b=c HTTP/1.0\r\nHost:h\r\na:\r\nB:1\r\nContent-Length:0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000) + "Cookie: a;b;\r\n\r\n",
	} {
		header := &fasthttp.RequestHeader{}
		assert.NilError(t, header.Read(bufio.NewReaderSize(strings.NewReader(head), 32<<10)))
		assert.Equal(t, RequestLength(header), len(head))
	}
}
