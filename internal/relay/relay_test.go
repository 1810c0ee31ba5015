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
	silentTime     = 200 * time.Millisecond // longer than a round trip on loopback
	failureTimeout = 10 * time.Second       // limit for waits that must succeed
)

// startEchoServer starts a server that returns all bytes it receives, and returns its
// address.
func startEchoServer(t *testing.T) string {
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

func startRelay(t *testing.T) (*Relay, net.Conn) {
	r, err := New(context.Background(), startEchoServer(t))
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

// exchange sends a text and returns as much of its echo as arrives in time.
func exchange(t *testing.T, c net.Conn, text string, within time.Duration) string {
	_, _ = c.Write([]byte(text))
	return receive(t, c, len(text), within)
}

func receive(t *testing.T, c net.Conn, n int, within time.Duration) string {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	buffer := make([]byte, n)
	n, _ = io.ReadFull(c, buffer)
	return string(buffer[:n])
}

func TestBytesAreForwarded(t *testing.T) {
	_, c := startRelay(t)
	assert.Equal(t, exchange(t, c, "hello", failureTimeout), "hello")
}

func TestHeldBytesArriveAfterHeal(t *testing.T) {
	for name, held := range map[string]Condition{"towards": {ToTarget: Hold}, "back": {ToClient: Hold}} {
		t.Run(name, func(t *testing.T) {
			r, c := startRelay(t)
			r.Set(held)
			assert.Equal(t, exchange(t, c, "hello", silentTime), "")
			r.Set(Condition{})
			assert.Equal(t, receive(t, c, 5, failureTimeout), "hello")
		})
	}
}

func TestBlackholedConnectionsStaySilent(t *testing.T) {
	r, c := startRelay(t)
	assert.Equal(t, exchange(t, c, "a", failureTimeout), "a")
	r.BlackholeOpen()
	assert.Equal(t, exchange(t, c, "b", silentTime), "")
	assert.Equal(t, exchange(t, dial(t, r), "c", failureTimeout), "c")
}

func TestResetClosesOpenConnections(t *testing.T) {
	r, c := startRelay(t)
	assert.Equal(t, exchange(t, c, "a", failureTimeout), "a")
	r.Reset()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(failureTimeout)))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
	assert.Equal(t, exchange(t, dial(t, r), "c", failureTimeout), "c")
}

func TestRefuseClosesNewConnections(t *testing.T) {
	r, c := startRelay(t)
	assert.Equal(t, exchange(t, c, "a", failureTimeout), "a")
	r.Set(Condition{Refuse: true})
	assert.Equal(t, exchange(t, dial(t, r), "b", failureTimeout), "")
	assert.Equal(t, exchange(t, c, "c", failureTimeout), "c")
}

func TestDelayAppliesBothWays(t *testing.T) {
	r, c := startRelay(t)
	const delay = 50 * time.Millisecond
	r.Set(Condition{Delay: delay})
	sent := time.Now()
	assert.Equal(t, exchange(t, c, "a", failureTimeout), "a")
	assert.Assert(t, time.Since(sent) >= 2*delay)
}

func TestCloseIsForwarded(t *testing.T) {
	r, c := startRelay(t)
	assert.Equal(t, exchange(t, c, "a", failureTimeout), "a")
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(failureTimeout)))
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err == io.EOF, "%v", err)
	assert.Equal(t, r.opened.Load(), uint64(1))
}
