package relay

import (
	"context"
	"net"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/ring"
)

// direction copies the bytes of one connection one way.
type direction struct {
	connection *connection
	from, to   net.Conn
	chunks     *ring.Ring[chunk]
	mode       func(*Condition) Mode
}

// read takes bytes until the connection ends, then the end itself.
func (d *direction) read(ctx context.Context) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := d.from.Read(buffer)
		due := time.Now().Add(d.connection.relay.condition.Load().Delay)
		if err != nil {
			_ = d.chunks.Put(ctx, chunk{due: due})
			return nil
		}
		if d.chunks.Put(ctx, chunk{data: append([]byte(nil), buffer[:n]...), due: due}) != nil {
			return nil
		}
	}
}

// write hands chunks on when they are due. An end passes as bytes do.
func (d *direction) write(ctx context.Context) error {
	for {
		next, err := d.chunks.Take(ctx)
		if err != nil {
			return nil
		}
		clock.Pause(ctx, time.Until(next.due))
		d.connection.awaitPassing(ctx, d.mode)
		if d.connection.blackholed() {
			if next.data == nil {
				return nil
			}
			continue
		}
		if next.data == nil {
			d.connection.close()
			return nil
		}
		if _, err := d.to.Write(next.data); err != nil {
			d.connection.close()
			return nil
		}
	}
}
