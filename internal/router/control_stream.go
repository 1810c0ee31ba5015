package router

import (
	"context"

	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// controlStream is a session stream to a control process: the rings between the session
// duty and the goroutines that send and receive.
type controlStream struct {
	fleet    string
	outgoing *ring.Ring[session.RouterMessage]
	incoming *ring.Ring[session.ControlMessage]
	// progress is signalled when a part of a message has arrived.
	progress *ring.Ring[struct{}]
	// ended holds the error with which the stream ended.
	ended *ring.Ring[error]
}

func newControlStream(fleetName string) *controlStream {
	return &controlStream{
		fleet:    fleetName,
		outgoing: ring.New[session.RouterMessage]("session-up", 8, ring.DropOldest),
		incoming: ring.New[session.ControlMessage]("session-in", 64, ring.Wait),
		progress: ring.New[struct{}]("session-progress", 1, ring.DropOldest),
		ended:    ring.New[error]("session-ended", 1, ring.DropOldest),
	}
}

// run copies messages between the stream and the rings until the stream fails.
func (s *controlStream) run(ctx context.Context, client wirepb.SessionsClient) {
	_ = s.ended.Put(ctx, s.pump(ctx, client))
}

func (s *controlStream) pump(ctx context.Context, client wirepb.SessionsClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Attach(peer.NameFleet(ctx, s.fleet))
	if err != nil {
		return err
	}
	go func() {
		defer cancel()
		for {
			up, err := s.outgoing.Take(ctx)
			if err != nil {
				return
			}
			message := wire.FromUp(&up, s.fleet)
			message.Parts = true
			if stream.Send(message) != nil {
				return
			}
		}
	}()
	joiner := &wire.DownJoiner{}
	for {
		down, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.take(ctx, joiner, down); err != nil {
			return err
		}
	}
}

// take queues a message for the session duty once all its parts have arrived.
func (s *controlStream) take(ctx context.Context, joiner *wire.DownJoiner, down *wirepb.SessionDown) error {
	complete, err := joiner.Add(down)
	if err != nil {
		return err
	}
	if !complete {
		return s.progress.Put(ctx, struct{}{})
	}
	message, err := wire.ToDown(down)
	if err != nil {
		return err
	}
	return s.incoming.Put(ctx, message)
}
