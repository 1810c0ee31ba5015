package httphead

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func TestValidHeadsAreComplete(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 204\r\n\r\n",
		"\r\nHTTP/1.0 599 Other\r\nContent-Length: 0\r\nx-y_z.~|`^: a b\tc:\xe9\r\nEmpty:\r\nTight:x\r\n\r\n",
		"HTTP/1.1 200 OK\nA: 1\n\n",
	} {
		for cut := range len(head) {
			length, err := checkResponse([]byte(head[:cut]))
			assert.Check(t, length == 0 && err == nil, "%q: %d, %v", head[:cut], length, err)
		}
		length, err := checkResponse([]byte(head + "\r\nbody: 1"))
		assert.Check(t, length == len(head) && err == nil, "%q: %d, %v", head, length, err)
	}
}

func TestTrailersEndWithAnEmptyLine(t *testing.T) {
	for data, want := range map[string]int{"": 0, "\r": 0, "\r\n": 2, "A: 1\r\n": 0, "A: 1\r\n\r\nHTTP/1.1": 8} {
		length, err := checkFields([]byte(data))
		assert.Check(t, length == want && err == nil, "%q: %d, %v", data, length, err)
	}
}

func TestInvalidLinesAreReportedAtOnce(t *testing.T) {
	for data, want := range map[string]error{
		"HTTP/1.1 000 OK\r\n":             ErrStatus,
		"HTTP/1.1\r\n":                    ErrStatus,
		"HTTP/1.1 200 OK\r\nA B: 1\r\n":   ErrFieldName,
		"HTTP/1.1 200 OK\r\nA\x01: 1\n":   ErrFieldName,
		"HTTP/1.1 200 OK\r\nA\r\n":        ErrFieldName,
		"HTTP/1.1 200 OK\r\nA: 1\r\n b\n": ErrFieldName,
		"HTTP/1.1 200 OK\r\n\r\r\n":       ErrFieldName,
	} {
		_, err := checkResponse([]byte(data))
		assert.Check(t, err == want, "%q: %v", data, err)
	}
}

// FuzzHeadEnds guards against a head that ends elsewhere for the parser than for the check:
// lines after that would pass unchecked.
func FuzzHeadEnds(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\nbody", "HTTP/1.1 200 OK\nA: 1\n\nB C: 1\r\n\r\n", "\r\n\nHTTP/1.1 200 OK\r\nA: 1\n\r\nB C: 1\r\n\r\n",
		"HTTP/1.1 200 OK\n\nB C: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: \r\n\r\n\r\n", "HTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		length, err := checkResponse(data)
		reader, header := bufio.NewReader(bytes.NewReader(data)), &fasthttp.ResponseHeader{}
		if err != nil || length == 0 || header.Read(reader) != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), string(data[length:]))
		for name := range header.All() {
			assert.Assert(t, !strings.ContainsAny(string(name), " \t\r\n\x00"), "%q", name)
		}
	})
}
