package relay

import (
	"context"
	"net"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/ring"
)

const (
	chunkBytes    = 16 << 10             // bytes read at once
	chunkCapacity = 256                  // chunks on their way in one direction; the sender waits beyond that
	lookInterval  = 5 * time.Millisecond // time between looks at a path that holds bytes back
)

// connection is one connection through a relay.
type connection struct {
	relay      *Relay
	number     uint64
	near, far  net.Conn
	generation *generation
	// forget takes the connection off its generation.
	forget func() bool
}

// run opens the other end and starts both directions. They last until one end
// closes or the relay resets them.
func (c *connection) run(ctx context.Context) error {
	if !c.open(ctx) {
		_ = c.near.Close()
		return nil
	}
	c.forget = context.AfterFunc(c.generation.ctx, c.reset)
	towards := &direction{connection: c, from: c.near, to: c.far, chunks: newChunks(), mode: func(s *Condition) Mode { return s.Towards }}
	back := &direction{connection: c, from: c.far, to: c.near, chunks: newChunks(), mode: func(s *Condition) Mode { return s.Back }}
	for _, d := range []*direction{towards, back} {
		c.relay.group.Go("read", d.read)
		c.relay.group.Go("write", d.write)
	}
	return nil
}

func newChunks() *ring.Ring[chunk] { return ring.New[chunk]("chunks", chunkCapacity, ring.Wait) }

// open reaches the target once bytes pass towards it, and reports whether it did.
func (c *connection) open(ctx context.Context) bool {
	c.passable(ctx, func(s *Condition) Mode { return s.Towards })
	if c.relay.condition.Load().Refuse || c.generation.ctx.Err() != nil {
		return false
	}
	far, err := net.DialTimeout("tcp", c.relay.target, dialTimeout)
	c.far = far
	return err == nil
}

// passable waits while a direction holds bytes back.
func (c *connection) passable(ctx context.Context, mode func(*Condition) Mode) {
	for ctx.Err() == nil && c.generation.ctx.Err() == nil && mode(c.relay.condition.Load()) == Hold {
		clock.Pause(ctx, lookInterval)
	}
}

func (c *connection) lost() bool { return c.number <= c.relay.silenced.Load() }

func (c *connection) reset() {
	for _, end := range []net.Conn{c.near, c.far} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = end.Close()
	}
}

func (c *connection) close() {
	c.forget()
	_ = c.near.Close()
	_ = c.far.Close()
}
