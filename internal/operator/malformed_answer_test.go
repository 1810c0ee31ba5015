package operator

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// serveText answers the first request of each connection with a text and closes it.
func serveText(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				_, _ = connection.Write([]byte(text))
			}
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against an operators' command that takes an answer with a malformed head, from a
// wrong address or a faulty process, for the acceptance of a change or for the state.
func TestMalformedAnswersAreNoAnswers(t *testing.T) {
	const body = `{"accepted":true,"isLeader":true}`
	length := fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n", len(body))
	for name, head := range map[string]string{
		"status 000":          "HTTP/1.1 000 OK\r\n" + length,
		"status 000, interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + length,
		"refusal below 100":   "HTTP/1.1 099 Refused\r\n" + length,
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Field: 1\r\n" + length,
		"blank after a name":  "HTTP/1.1 200 OK\r\nX-Field : 1\r\n" + length,
		"blank before a name": "HTTP/1.1 200 OK\r\nX-Before: 1\r\n X-Field: 1\r\n" + length,
		"control byte, name":  "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\n" + length,
		"blank, interim":      "HTTP/1.1 103 Early Hints\r\nX Field: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"blank, redirect":     "HTTP/1.1 421 Misdirected\r\nX Field: 1\r\n" + length,
		"blank, length":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length : 33\r\n",
	} {
		client := NewClient([]string{serveText(t, head+"\r\n"+body)}, testToken, 0)
		_, err := client.Change(&ChangeBody{CommandID: "c"})
		assert.Check(t, eris.Is(err, ErrOutcomeUnknown), "%s: %v", name, err)
		_, err = client.Preset()
		assert.Check(t, eris.Is(err, ErrNoAnswer), "%s: %v", name, err)
	}
	_, err := NewClient([]string{serveText(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"+length+"\r\n"+body)}, testToken, 0).Change(&ChangeBody{CommandID: "c"})
	assert.NilError(t, err)
}
