package operator

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// serveEndless answers the first request of each connection with a head and then writes
// the same bytes until the connection is closed. It sends the number of bytes written on
// each.
func serveEndless(t *testing.T, head, repeated string) (address string, written chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written = make(chan int, 16)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { written <- writeEndlessly(connection, head, repeated) }()
		}
	}()
	return listener.Addr().String(), written
}

func writeEndlessly(connection net.Conn, head, repeated string) (total int) {
	defer func() { _ = connection.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
		return 0
	}
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	_, err := connection.Write([]byte(head))
	for err == nil && total < 1<<30 {
		var n int
		n, err = connection.Write(block)
		total += n
	}
	return total
}

// Guards against an operators' command that reads an answer without end, from a wrong
// address or a faulty process, until its memory is used up.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"head":                {head, "X-More: x\r\n"},
		"body without length": {head + "\r\n", "x"},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "100\r\n" + strings.Repeat("x", 0x100) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := serveEndless(t, c.head, c.repeated)
			_, err := NewClient([]string{address}, testToken, 0).Preset()
			assert.Assert(t, eris.Is(err, ErrNoAnswer), "%v", err)
			select {
			case total := <-written: // what the sockets' buffers hold was written too
				assert.Assert(t, total < maxAnswerBody+(16<<20), "%d bytes were taken", total)
			case <-time.After(20 * time.Second):
				t.Fatal("the connection was not closed")
			}
		})
	}
}
