package caller

import (
	"bytes"
	"net"
	"time"
)

// memoryConnection is a connection that reads from memory and discards writes.
type memoryConnection struct{ in *bytes.Reader }

func (c *memoryConnection) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c *memoryConnection) Write(p []byte) (int, error)      { return len(p), nil }
func (c *memoryConnection) Close() error                     { return nil }
func (c *memoryConnection) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *memoryConnection) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *memoryConnection) SetDeadline(time.Time) error      { return nil }
func (c *memoryConnection) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConnection) SetWriteDeadline(time.Time) error { return nil }
