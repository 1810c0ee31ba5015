package caller

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/ring"
)

// readWait is the longest wait of a read for others of the same server.
const readWait = time.Second

// readGate lets one read of a server run at a time: answers may be large, and count only once they
// are encoded.
type readGate struct{ free *ring.Ring[struct{}] }

func newReadGate() readGate {
	g := readGate{free: ring.New[struct{}]("reads", 1, ring.Refuse)}
	g.leave()
	return g
}

// enter waits until no other read runs. It returns false after readWait.
func (g readGate) enter() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	_, err := g.free.Take(ctx)
	return err == nil
}

func (g readGate) leave() { _ = g.free.Put(context.Background(), struct{}{}) }

// isRead reports whether a request changes nothing, so that its answer may be replaced by a refusal.
func isRead(c *fasthttp.RequestCtx) bool { return c.IsGet() || c.IsHead() }
