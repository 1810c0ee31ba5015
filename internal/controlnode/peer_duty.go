package controlnode

import (
	"context"
	"time"

	"endivespring/internal/consensus"
	"endivespring/internal/event"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/wire/wirepb"
)

const (
	reconnectDelay = 50 * time.Millisecond // wait after a failed stream before the next connection
	openTimeout    = 2 * time.Second       // bound on opening a connection and its stream
)

// peerDuty sends consensus messages to one other control process.
type peerDuty struct {
	fleet   string
	address string
	events  event.Recorder
	out     *ring.Ring[consensus.Message]
}

// Run sends until the context ends. A failed stream is replaced by a stream on
// a new connection; meanwhile the ring drops its oldest messages when it is
// full, and messages sent on the failed stream may be lost. If the peer refused
// this process's fleet, Run waits longer before it connects again.
func (d *peerDuty) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := reconnectDelay
		if peer.IsFleetRefused(d.stream(ctx)) {
			d.events.Record(event.RefusedByFleet, event.F("address", d.address), event.F("fleet", d.fleet))
			delay = peer.FleetRetryDelay
		}
		sleep(ctx, delay)
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
	opening := time.AfterFunc(openTimeout, cancel)
	client, err := wirepb.NewConsensusClient(connection).Deliver(peer.NameFleet(ctx, d.fleet))
	opening.Stop()
	if err != nil {
		return err
	}
	stream := newPeerStream(d.fleet, client, cancel)
	ended := ring.NewReply[error]()
	go func() {
		defer cancel()
		ended.Send(stream.receive(ctx))
	}()
	stream.send(ctx, d.out)
	cancel()
	if stream.timedOut.Load() {
		d.events.Record(event.ConnectionRetired, event.F("address", d.address))
	}
	return <-ended.Out()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
