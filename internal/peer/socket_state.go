package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SocketState is the state of a connection's receiving side.
type SocketState uint8

const (
	// SocketQuiet means that nothing is there to read.
	SocketQuiet SocketState = iota
	// SocketReadable means that bytes can be read.
	SocketReadable
	// SocketClosed means that the other end has closed or reset the connection.
	// Bytes that it sent before may still be unread.
	SocketClosed
)

// SocketStateOf returns the state of a connection without blocking or consuming bytes. A
// connection that is no socket counts as quiet.
func SocketStateOf(connection net.Conn) SocketState {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return SocketQuiet
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return SocketClosed
	}
	state := SocketClosed
	err = raw.Control(func(fd uintptr) { state = probe(int(fd)) })
	if err != nil {
		return SocketClosed
	}
	return state
}

// closedByPeer reports whether the other end has closed the connection, even if
// unread bytes precede the end of the stream.
func closedByPeer(fd int) bool {
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(state, 0)
	return err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

func probe(fd int) SocketState {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return SocketQuiet
	case err == nil && n > 0 && !closedByPeer(fd):
		return SocketReadable
	default:
		return SocketClosed
	}
}
