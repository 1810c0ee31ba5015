package relay

import (
	"context"
	"net"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/ring"
)

// direction copies the bytes of a connection in one direction.
type direction struct {
	connection *connection
	from, to   net.Conn
	chunks     *ring.Ring[chunk]
	mode       func(*Condition) Mode
}

// read queues the bytes that arrive, and an end marker after the last.
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

// write delivers chunks when they are due. The end of the stream is delayed, held and
// dropped like bytes.
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
