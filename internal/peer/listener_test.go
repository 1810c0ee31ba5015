package peer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// failingListener fails with each error in turn, and then accepts a connection.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		near, _ := net.Pipe()
		return near, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

// Guards against a process that ends because a connection came when no descriptor was free.
func TestListenerOutlastsWantOfDescriptors(t *testing.T) {
	refused := func(code syscall.Errno) error {
		return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", code)}
	}
	l := listener{&failingListener{failures: []error{refused(syscall.EMFILE), refused(syscall.ENFILE), refused(syscall.ECONNABORTED)}}}
	connection, err := l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, connection.Close())
	_, err = listener{&failingListener{failures: []error{net.ErrClosed}}}.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}
