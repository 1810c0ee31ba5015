package relay

import (
	"context"
	"net"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/ring"
)

const (
	chunkBytes       = 16 << 10             // most bytes in a chunk
	chunkCapacity    = 256                  // chunks in transit in one direction; beyond that the sender is blocked
	heldPollInterval = 5 * time.Millisecond // time between checks of a direction that holds bytes
)

// connection is one client connection through a relay, with its connection to the
// target.
type connection struct {
	relay          *Relay
	number         uint64
	client, target net.Conn
	generation     *generation
	// cancelReset unregisters the reset that follows the end of the generation.
	cancelReset func() bool
}

// run dials the target and starts to copy in both directions, until one end closes
// or the relay resets the connection.
func (c *connection) run(ctx context.Context) error {
	if !c.dialTarget(ctx) {
		_ = c.client.Close()
		return nil
	}
	c.cancelReset = context.AfterFunc(c.generation.ctx, c.reset)
	toTarget := &direction{connection: c, from: c.client, to: c.target, chunks: newChunks(), mode: func(s *Condition) Mode { return s.ToTarget }}
	toClient := &direction{connection: c, from: c.target, to: c.client, chunks: newChunks(), mode: func(s *Condition) Mode { return s.ToClient }}
	for _, d := range []*direction{toTarget, toClient} {
		c.relay.group.Go("read", d.read)
		c.relay.group.Go("write", d.write)
	}
	return nil
}

func newChunks() *ring.Ring[chunk] { return ring.New[chunk]("chunks", chunkCapacity, ring.Wait) }

// dialTarget dials the target, once the direction towards it no longer holds bytes,
// and reports whether it succeeded.
func (c *connection) dialTarget(ctx context.Context) bool {
	c.awaitPassing(ctx, func(s *Condition) Mode { return s.ToTarget })
	if c.relay.condition.Load().Refuse || c.generation.ctx.Err() != nil {
		return false
	}
	target, err := net.DialTimeout("tcp", c.relay.target, dialTimeout)
	c.target = target
	return err == nil
}

// awaitPassing waits while a direction holds bytes.
func (c *connection) awaitPassing(ctx context.Context, mode func(*Condition) Mode) {
	for ctx.Err() == nil && c.generation.ctx.Err() == nil && mode(c.relay.condition.Load()) == Hold {
		clock.Pause(ctx, heldPollInterval)
	}
}

// blackholed reports whether the bytes of this connection are dropped.
func (c *connection) blackholed() bool { return c.number <= c.relay.blackholedUpTo.Load() }

// reset closes both ends with a TCP reset.
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
