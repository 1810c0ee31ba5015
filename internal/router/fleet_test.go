package router

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/wire/wirepb"
)

// TestOtherFleetsAreRefused sends a call, a ping and a cancellation of another fleet
// to an executor server and checks that none reaches the executor duty.
func TestOtherFleetsAreRefused(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	log := event.NewLog(&bytes.Buffer{}, "test")
	submissions := ring.New[*submission]("submissions", 8, ring.Refuse)
	server := peer.NewServer()
	wirepb.RegisterDoorsServer(server, &executorServer{fleet: "own", events: log, clock: clock.NewMonotonic(), executor: submissions})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	defer server.Stop()
	connection, err := peer.Dial(listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	for i, up := range []*wirepb.DoorUp{
		{Fleet: "other", Call: &wirepb.Call{Number: 1}}, {Call: &wirepb.Call{Number: 1}}, {Fleet: "other", Ping: 1}, {Fleet: "other", Cancel: 1},
	} {
		link, err := wirepb.NewDoorsClient(connection).Link(ctx)
		assert.NilError(t, err)
		assert.NilError(t, link.Send(up))
		_, err = link.Recv()
		assert.Assert(t, peer.IsFleetRefused(err), "message %d: %v", i, err)
		assert.Equal(t, log.Count(event.FleetRefused), int64(i+1))
	}
	assert.Equal(t, submissions.Depth(), 0)

	link, err := wirepb.NewDoorsClient(connection).Link(ctx)
	assert.NilError(t, err)
	assert.NilError(t, link.Send(&wirepb.DoorUp{Fleet: "own", Call: &wirepb.Call{Number: 5}}))
	opened, err := submissions.Take(ctx)
	assert.NilError(t, err)
	assert.Assert(t, opened.open != nil)
	first, err := submissions.Take(ctx)
	assert.NilError(t, err)
	assert.Equal(t, first.call.Number, uint64(5))
}
