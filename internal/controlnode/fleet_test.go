package controlnode

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"endivespring/internal/consensus"
	"endivespring/internal/event"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// Sends first messages that carry another fleet's name, none, a name in other
// case, and the own name on the consensus and session streams. Only the last
// must reach the duties.
func TestOtherFleetsAreRefused(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for _, fleet := range []string{"other", "", "Own", "own"} {
		log := event.NewLog(&bytes.Buffer{}, "test")
		inbound := ring.New[*consensus.Message]("in", 4, ring.DropOldest)
		streamEvents := ring.New[streamEvent]("arrivals", 4, ring.Refuse)
		server := peer.NewServer()
		wirepb.RegisterConsensusServer(server, &consensusServer{fleet: "own", events: log, inbound: inbound})
		wirepb.RegisterSessionsServer(server, &sessionServer{fleet: "own", events: log, streamEvents: streamEvents})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = peer.Serve(server, listener) }()
		connection, err := peer.Dial(listener.Addr().String())
		assert.NilError(t, err)

		deliver, err := wirepb.NewConsensusClient(connection).Deliver(ctx)
		assert.NilError(t, err)
		assert.NilError(t, deliver.Send(wire.FromMessage(&consensus.Message{Term: 7}, fleet)))
		attach, err := wirepb.NewSessionsClient(connection).Attach(ctx)
		assert.NilError(t, err)
		assert.NilError(t, attach.Send(wire.FromUp(&session.RouterMessage{Nonce: "n"}, fleet)))

		if fleet == "own" {
			message, err := inbound.Take(ctx)
			assert.NilError(t, err)
			assert.Equal(t, message.Term, uint64(7))
			e, err := streamEvents.Take(ctx)
			assert.NilError(t, err)
			assert.Equal(t, e.up.Nonce, "n")
			assert.Equal(t, log.Count(event.FleetRefused), int64(0))
		} else {
			assert.Equal(t, status.Code(deliver.RecvMsg(&wirepb.Empty{})), codes.PermissionDenied)
			_, err = attach.Recv()
			assert.Assert(t, peer.IsFleetRefused(err))
			assert.Equal(t, inbound.Depth(), 0)
			assert.Equal(t, log.Count(event.FleetRefused), int64(2))
		}
		assert.NilError(t, connection.Close())
		server.Stop()
	}
}

// A peer duty whose fleet is refused delivers nothing, so it must record an event
// that shows the reason.
func TestRefusedPeerDutyRecordsAnEvent(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	log := event.NewLog(&bytes.Buffer{}, "test")
	server := peer.NewServer()
	wirepb.RegisterConsensusServer(server, &consensusServer{fleet: "own", events: log, inbound: ring.New[*consensus.Message]("in", 4, ring.DropOldest)})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	defer server.Stop()
	out := ring.New[consensus.Message]("peer", 4, ring.DropOldest)
	d := &peerDuty{fleet: "other", address: listener.Addr().String(), events: log, out: out}
	done := ring.NewReply[error]()
	go func() { done.Send(d.Run(ctx)) }()
	for log.Count(event.RefusedByFleet) == 0 && ctx.Err() == nil {
		_ = out.Put(ctx, consensus.Message{Term: 1})
		sleep(ctx, 5*time.Millisecond)
	}
	assert.Equal(t, log.Count(event.RefusedByFleet), int64(1))
	cancel()
	assert.NilError(t, <-done.Out())
}
