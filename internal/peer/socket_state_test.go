package peer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	far, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// becomes waits until a look at a connection shows a state.
func becomes(t *testing.T, c net.Conn, want SocketState) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); Look(c) != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "state is %d, not %d", Look(c), want)
	}
}

func TestLook(t *testing.T) {
	near, far := pair(t)
	assert.Equal(t, Look(far), SocketQuiet)
	_, err := near.Write([]byte("next request"))
	assert.NilError(t, err)
	becomes(t, far, SocketReadable)
	assert.NilError(t, near.Close())
	becomes(t, far, SocketClosed) // the bytes are still unread
}

func TestLookAtReset(t *testing.T) {
	near, far := pair(t)
	assert.NilError(t, near.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, near.Close())
	becomes(t, far, SocketClosed)
}
