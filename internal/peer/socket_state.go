package peer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SocketState is what a look at a connection shows without taking anything.
type SocketState uint8

const (
	// SocketQuiet has nothing to read.
	SocketQuiet SocketState = iota
	// SocketReadable has bytes to read.
	SocketReadable
	// SocketClosed was closed or reset by the other end, which may have sent
	// bytes before.
	SocketClosed
)

// Look returns the state of a connection. It does not wait and takes no bytes.
// A connection that is no socket is taken as quiet.
func Look(connection net.Conn) SocketState {
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

// closedByPeer reports whether the other end has closed, also behind unread bytes.
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
