package caller

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func parseHeader(t *testing.T, text string) *fasthttp.RequestHeader {
	t.Helper()
	header := &fasthttp.RequestHeader{}
	assert.NilError(t, header.Read(bufio.NewReaderSize(strings.NewReader(text), ReaderBytes)))
	return header
}

// Guards against a header that counts as its bytes only: the library allocates for each field, and
// for each element of some lists.
func TestHeaderCostCountsElements(t *testing.T) {
	const many = 4000
	ordinary := headerCost(parseHeader(t, "GET /a HTTP/1.1\r\nHost: h\r\nCookie: a=1; b=2\r\n\r\n"))
	assert.Assert(t, ordinary < 1<<10, "%d", ordinary)
	for name, text := range map[string]string{
		"fields": strings.Repeat("a:\r\n", many), "cookies": "Cookie: " + strings.Repeat("a;", many) + "\r\n",
		"trailers": "Trailer: " + strings.Repeat("a,", many) + "b\r\n",
	} {
		cost := headerCost(parseHeader(t, "GET /a HTTP/1.1\r\nHost: h\r\n"+text+"\r\n"))
		assert.Assert(t, cost > (many-basicElements)*elementCost, "%s: %d", name, cost)
	}
}

// Guards against a body that counts as fields if it arrives together with its header.
func TestElementsEndWithTheHeader(t *testing.T) {
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		assert.Equal(t, countElements([]byte("POST / HTTP/1.1\r\nA: b"+end+strings.Repeat("[1,2,3];\r\n\r\n", 100))), 1)
	}
	assert.Equal(t, countElements([]byte("A: 1\r\nB: 2,3\r\nC: 4;")), 4)
}

// Guards against a cost that is lost or wrong because time passes until the connection sees it.
func TestHeaderCostIsToldByTheTimeout(t *testing.T) {
	for _, text := range []string{"", strings.Repeat("a:\r\n", 7000)} {
		header := parseHeader(t, "GET /a HTTP/1.1\r\nHost: h\r\n"+text+"\r\n")
		for _, passed := range []time.Duration{0, time.Millisecond, 20 * time.Second} {
			cost, ends := headerEnd(BodyReadTimeout(header) - passed)
			assert.Assert(t, ends && cost == headerCost(header)/headerCostUnit*headerCostUnit, "%d after %s", cost, passed)
		}
	}
	_, ends := headerEnd(headerEnds / 2)
	assert.Assert(t, !ends)
}
