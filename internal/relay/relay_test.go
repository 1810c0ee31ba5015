package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	soon  = 200 * time.Millisecond // longer than bytes need on loopback
	later = 10 * time.Second       // a test that waits this long has failed
)

// echo starts a server that sends back what it gets.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func start(t *testing.T) (*Relay, net.Conn) {
	r, err := New(context.Background(), echo(t))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, r.Stop()) })
	return r, dial(t, r)
}

func dial(t *testing.T, r *Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// back sends text and returns what comes back within a time.
func back(t *testing.T, c net.Conn, text string, within time.Duration) string {
	_, _ = c.Write([]byte(text))
	return got(t, c, len(text), within)
}

func got(t *testing.T, c net.Conn, n int, within time.Duration) string {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	buffer := make([]byte, n)
	n, _ = io.ReadFull(c, buffer)
	return string(buffer[:n])
}

func TestBytesPass(t *testing.T) {
	_, c := start(t)
	assert.Equal(t, back(t, c, "hello", later), "hello")
}

func TestHeldBytesPassOnceHealed(t *testing.T) {
	for name, held := range map[string]Condition{"towards": {Towards: Hold}, "back": {Back: Hold}} {
		t.Run(name, func(t *testing.T) {
			r, c := start(t)
			r.Set(held)
			assert.Equal(t, back(t, c, "hello", soon), "")
			r.Set(Condition{})
			assert.Equal(t, got(t, c, 5, later), "hello")
		})
	}
}

func TestSilencedConnectionsLoseBytesForGood(t *testing.T) {
	r, c := start(t)
	assert.Equal(t, back(t, c, "a", later), "a")
	r.Silence()
	assert.Equal(t, back(t, c, "b", soon), "")
	assert.Equal(t, back(t, dial(t, r), "c", later), "c")
}

func TestResetEndsOpenConnections(t *testing.T) {
	r, c := start(t)
	assert.Equal(t, back(t, c, "a", later), "a")
	r.Reset()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(later)))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
	assert.Equal(t, back(t, dial(t, r), "c", later), "c")
}

func TestRefusedConnectionsClose(t *testing.T) {
	r, c := start(t)
	assert.Equal(t, back(t, c, "a", later), "a")
	r.Set(Condition{Refuse: true})
	assert.Equal(t, back(t, dial(t, r), "b", later), "")
	assert.Equal(t, back(t, c, "c", later), "c")
}

func TestDelayIsAdded(t *testing.T) {
	r, c := start(t)
	const delay = 50 * time.Millisecond
	r.Set(Condition{Delay: delay})
	sent := time.Now()
	assert.Equal(t, back(t, c, "a", later), "a")
	assert.Assert(t, time.Since(sent) >= 2*delay)
}

func TestACloseReachesTheOtherEnd(t *testing.T) {
	r, c := start(t)
	assert.Equal(t, back(t, c, "a", later), "a")
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(later)))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err == io.EOF, "%v", err)
	assert.Equal(t, r.opened.Load(), uint64(1))
}
