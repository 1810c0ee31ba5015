package controlnode

import (
	"context"
	"time"

	"endivespring/internal/consensus"
	"endivespring/internal/duty"
	"endivespring/internal/event"
	"endivespring/internal/metrics"
	"endivespring/internal/ring"
)

const (
	peerIdleTimeout   = 30 * time.Second // time without messages after which the duty of a peer ends
	idleCheckInterval = 10 * time.Second // time between checks for idle peers
)

// dispatchDuty distributes consensus messages to one duty per receiver, so that
// a slow receiver does not delay the others. It starts such a duty with the
// first message to a receiver and ends it when no message was sent to the
// receiver for peerIdleTimeout.
type dispatchDuty struct {
	fleet    string
	self     string
	events   event.Recorder
	group    *duty.Group
	registry *metrics.Registry
	messages *ring.Ring[consensus.Message]
	// address returns the peer address of a named process, empty if it is
	// unknown.
	address func(name string) string
	peers   map[string]*dispatchedPeer
}

// Run distributes messages until the context ends.
func (d *dispatchDuty) Run(ctx context.Context) error {
	sweep := time.NewTicker(idleCheckInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			d.stopIdlePeers()
		case message := <-d.messages.Out():
			d.dispatch(ctx, message)
		}
	}
}

func (d *dispatchDuty) dispatch(ctx context.Context, message consensus.Message) {
	name := message.To.Name
	address := d.address(name)
	if name == d.self || address == "" {
		return
	}
	peer := d.peers[name]
	if peer == nil {
		peer = d.startPeer(ctx, name, address)
	}
	peer.lastUsed = time.Now()
	_ = peer.messages.Put(ctx, message)
}

func (d *dispatchDuty) startPeer(ctx context.Context, name, address string) *dispatchedPeer {
	ctx, cancel := context.WithCancel(ctx)
	peer := &dispatchedPeer{
		messages: ring.New[consensus.Message]("peer-"+name, peerCapacity, ring.DropOldest), cancel: cancel,
	}
	d.peers[name] = peer
	d.registry.RegisterRings(peer.messages)
	sender := &peerDuty{fleet: d.fleet, events: d.events, address: address, out: peer.messages}
	d.group.Go("peer-"+name, func(context.Context) error { return sender.Run(ctx) })
	return peer
}

func (d *dispatchDuty) stopIdlePeers() {
	for name, peer := range d.peers {
		if time.Since(peer.lastUsed) > peerIdleTimeout {
			peer.cancel()
			delete(d.peers, name)
		}
	}
}
