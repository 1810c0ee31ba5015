package controlnode

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"endivespring/internal/consensus"
	"endivespring/internal/event"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const (
	redialDelay = 50 * time.Millisecond // wait after a lost stream to a peer
	sendTimeout = 2 * time.Second       // a send that takes longer means a silent connection
)

// peerDuty sends consensus messages to one other control process.
type peerDuty struct {
	fleet   string
	address string
	events  event.Recorder
	out     *ring.Ring[consensus.Message]
}

// Run sends until the context ends. A failed stream is replaced by one on a
// new connection; messages in between are dropped.
func (d *peerDuty) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := redialDelay
		if peer.RefusedFleet(d.stream(ctx)) {
			d.events.Record(event.RefusedByFleet, event.F("address", d.address), event.F("fleet", d.fleet))
			delay = peer.RefusedDelay
		}
		wait(ctx, delay)
	}
	return nil
}

func (d *peerDuty) stream(ctx context.Context) error {
	connection, err := peer.Dial(d.address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, err := wirepb.NewConsensusClient(connection).Deliver(ctx)
	if err != nil {
		return err
	}
	for {
		message, err := d.out.Take(ctx)
		if err != nil {
			return err
		}
		if err := d.send(client, cancel, &message); err != nil {
			return err
		}
	}
}

func (d *peerDuty) send(client grpc.ClientStreamingClient[wirepb.ConsensusMessage, wirepb.Empty], cancel func(), m *consensus.Message) error {
	watchdog := time.AfterFunc(sendTimeout, cancel)
	defer watchdog.Stop()
	err := client.Send(wire.FromMessage(m, d.fleet))
	if eris.Is(err, io.EOF) {
		_, err = client.CloseAndRecv()
	}
	return err
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
