package peer

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptPause is the time until a listener tries again after the system refused a connection.
const acceptPause = 50 * time.Millisecond

// listener is a TCP listener that waits while the process or the system has no descriptor or
// memory for a connection. Servers end at most errors of Accept.
type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err == nil || !exhausted(err) {
			return connection, err
		}
		<-time.After(acceptPause)
	}
}

// exhausted reports whether an error of Accept passes once others have closed connections.
func exhausted(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
