package peer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectedPair returns the two ends of a TCP connection.
func connectedPair(t *testing.T) (near, far net.Conn) {
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

// waitForState polls until a connection is in the wanted state.
func waitForState(t *testing.T, c net.Conn, want SocketState) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); SocketStateOf(c) != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "state is %d, not %d", SocketStateOf(c), want)
	}
}

func TestSocketStates(t *testing.T) {
	near, far := connectedPair(t)
	assert.Equal(t, SocketStateOf(far), SocketQuiet)
	_, err := near.Write([]byte("next request"))
	assert.NilError(t, err)
	waitForState(t, far, SocketReadable)
	assert.NilError(t, near.Close())
	waitForState(t, far, SocketClosed) // with the bytes still unread
}

func TestResetSocketIsClosed(t *testing.T) {
	near, far := connectedPair(t)
	assert.NilError(t, near.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, near.Close())
	waitForState(t, far, SocketClosed)
}
