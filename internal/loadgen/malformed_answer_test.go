package loadgen

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a load report that counts a malformed answer of a router as one.
func TestMalformedAnswersCountAsNoAnswer(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nX-Field: 1":  "ran",
		"HTTP/1.1 000 OK\r\nX-Field: 1":  "may-have-run",
		"HTTP/1.1 200 OK\r\nX Field: 1":  "may-have-run",
		"HTTP/1.1 200 OK\r\nX-Field : 1": "may-have-run",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_, _ = fmt.Fprintf(connection, "%s\r\nEndivespring-Verdict: ran\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", head)
				}
				_ = connection.Close()
			}
		}()
		report, err := Run(context.Background(), Settings{
			Addresses: []string{listener.Addr().String()}, Mix: []Operation{{Service: "s", Name: "o", Weight: 1}},
			Rate: 20, Duration: 100 * time.Millisecond, Timeout: time.Second, Workers: 2,
		})
		assert.NilError(t, err)
		assert.DeepEqual(t, report.Verdicts, map[string]int{want: 2})
		_ = listener.Close()
	}
}
