package controlnode

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"endivespring/internal/controller"
	"endivespring/internal/event"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const downRingCapacity = 1024 // messages waiting to be sent to one router

// sessionServer accepts the session streams of routers.
type sessionServer struct {
	wirepb.UnimplementedSessionsServer
	fleet        string
	events       event.Recorder
	streamEvents *ring.Ring[streamEvent]
	lastStream   atomic.Uint64
}

// Attach passes the messages of one router's stream to the controller duty and
// sends the controller's messages back, until either side ends the stream.
func (s *sessionServer) Attach(stream grpc.BidiStreamingServer[wirepb.SessionUp, wirepb.SessionDown]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	e := streamEvent{
		stream: controller.StreamID(s.lastStream.Add(1)), cancel: cancel,
		down: ring.New[*wirepb.SessionDown]("session-down", downRingCapacity, ring.Refuse),
	}
	// takesParts is set once the router says that it understands changes in parts.
	var takesParts atomic.Bool
	receiveError := ring.NewReply[error]()
	go func() {
		receiveError.Send(s.receive(ctx, stream, e, &takesParts))
		cancel()
		s.reportEnd(e.stream)
	}()
	s.send(ctx, stream, e.down, &takesParts)
	select {
	case err := <-receiveError.Out():
		return err
	default:
		return status.Error(codes.Unavailable, "stream closed by control")
	}
}

// reportEnd tells the controller duty that a stream has ended. It is called by the
// goroutine that passes on the stream's messages, so that it follows them. If the ring is
// full, the controller removes the stream after a time without messages.
func (s *sessionServer) reportEnd(stream controller.StreamID) {
	_ = s.streamEvents.Put(context.Background(), streamEvent{stream: stream, closed: true})
}

// receive passes on the messages of a router's stream until it ends, or the ring to the
// controller duty is full.
func (s *sessionServer) receive(ctx context.Context, stream grpc.BidiStreamingServer[wirepb.SessionUp, wirepb.SessionDown], e streamEvent, takesParts *atomic.Bool) error {
	for {
		up, err := stream.Recv()
		if err != nil {
			return err
		}
		if up.GetFleet() != s.fleet {
			return peer.RefuseFleet(ctx, s.events, s.fleet, up.GetFleet())
		}
		peer.Admit(ctx)
		takesParts.Store(up.GetParts())
		e.up = wire.ToUp(up)
		if err := s.streamEvents.Put(ctx, e); err != nil {
			return status.Error(codes.ResourceExhausted, "control is overloaded")
		}
	}
}

// send sends the controller's messages, large changes in parts: a router hears of control
// with each of them, so that it doesn't give the stream up while one takes long.
func (s *sessionServer) send(ctx context.Context, stream grpc.BidiStreamingServer[wirepb.SessionUp, wirepb.SessionDown], down *ring.Ring[*wirepb.SessionDown], takesParts *atomic.Bool) {
	for {
		message, err := down.Take(ctx)
		if err != nil {
			return
		}
		parts := []*wirepb.SessionDown{message}
		if takesParts.Load() {
			parts = wire.SplitDown(message)
		}
		for _, part := range parts {
			if stream.Send(part) != nil {
				return
			}
		}
	}
}
