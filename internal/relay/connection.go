package relay

import (
	"context"
	"net"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/ring"
)

const (
	chunkBytes       = 16 << 10             // bytes read at once
	chunkCapacity    = 256                  // chunks on their way in one direction; the sender waits beyond that
	heldPollInterval = 5 * time.Millisecond // time between looks at a path that holds bytes back
)

// connection is one connection through a relay.
type connection struct {
	relay          *Relay
	number         uint64
	client, target net.Conn
	generation     *generation
	// forget takes the connection off its generation.
	cancelReset func() bool
}

// run opens the other end and starts both directions. They last until one end
// closes or the relay resets them.
func (c *connection) run(ctx context.Context) error {
	if !c.dialTarget(ctx) {
		_ = c.client.Close()
		return nil
	}
	c.cancelReset = context.AfterFunc(c.generation.ctx, c.reset)
	toTarget := &direction{connection: c, from: c.client, to: c.target, chunks: newChunks(), mode: func(s *Condition) Mode { return s.Towards }}
	toClient := &direction{connection: c, from: c.target, to: c.client, chunks: newChunks(), mode: func(s *Condition) Mode { return s.Back }}
	for _, d := range []*direction{toTarget, toClient} {
		c.relay.group.Go("read", d.read)
		c.relay.group.Go("write", d.write)
	}
	return nil
}

func newChunks() *ring.Ring[chunk] { return ring.New[chunk]("chunks", chunkCapacity, ring.Wait) }

// open reaches the target once bytes pass towards it, and reports whether it did.
func (c *connection) dialTarget(ctx context.Context) bool {
	c.awaitPassing(ctx, func(s *Condition) Mode { return s.Towards })
	if c.relay.condition.Load().Refuse || c.generation.ctx.Err() != nil {
		return false
	}
	target, err := net.DialTimeout("tcp", c.relay.target, dialTimeout)
	c.target = target
	return err == nil
}

// passable waits while a direction holds bytes back.
func (c *connection) awaitPassing(ctx context.Context, mode func(*Condition) Mode) {
	for ctx.Err() == nil && c.generation.ctx.Err() == nil && mode(c.relay.condition.Load()) == Hold {
		clock.Pause(ctx, heldPollInterval)
	}
}

func (c *connection) blackholed() bool { return c.number <= c.relay.blackholedUpTo.Load() }

func (c *connection) reset() {
	for _, end := range []net.Conn{c.client, c.target} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = end.Close()
	}
}

func (c *connection) close() {
	c.cancelReset()
	_ = c.client.Close()
	_ = c.target.Close()
}
