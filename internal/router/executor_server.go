package router

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const answerCapacity = 512 // answers waiting for one stream, as many as calls wait for a link

// executorServer takes calls of other routers' entries.
type executorServer struct {
	wirepb.UnimplementedDoorsServer
	fleet    string
	events   event.Recorder
	clock    clock.Clock
	executor *ring.Ring[*submission]
	next     atomic.Uint64
}

// Link joins one entry's stream to the door duty.
func (s *executorServer) Link(stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown]) error {
	first, err := s.handshake(stream)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	id := localLink + s.next.Add(1)
	sink := &linkSink{out: ring.New[*wirepb.DoorDown]("link-answers", answerCapacity, ring.Refuse), cut: cancel}
	if s.executor.Put(ctx, &submission{link: id, open: sink}) != nil {
		return status.Error(codes.ResourceExhausted, "door is overloaded")
	}
	go func() {
		defer cancel()
		s.take(ctx, first, id, sink)
		s.receive(ctx, stream, id, sink)
	}()
	s.send(ctx, stream, sink)
	s.forget(id)
	return status.Error(codes.Unavailable, "link ended")
}

// handshake takes the first message, which tells the fleet of the stream.
func (s *executorServer) handshake(stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown]) (*wirepb.DoorUp, error) {
	first, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if first.GetFleet() != s.fleet {
		return nil, peer.RefuseFleet(stream.Context(), s.events, s.fleet, first.GetFleet())
	}
	return first, nil
}

// forget tells the door duty that the link is gone. The ring may be full for a
// moment, so this waits for room.
func (s *executorServer) forget(id uint64) {
	_ = s.executor.PutWait(context.Background(), &submission{link: id, closed: true})
}

func (s *executorServer) send(ctx context.Context, stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown], sink *linkSink) {
	for {
		down, err := sink.out.Take(ctx)
		if err != nil {
			return
		}
		if stream.Send(down) != nil {
			return
		}
	}
}

func (s *executorServer) receive(ctx context.Context, stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown], id uint64, sink *linkSink) {
	for {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		s.take(ctx, up, id, sink)
	}
}

func (s *executorServer) take(ctx context.Context, up *wirepb.DoorUp, id uint64, sink *linkSink) {
	if up.GetPing() != 0 {
		_ = sink.out.Put(ctx, &wirepb.DoorDown{Pong: up.GetPing()})
		return
	}
	if up.GetCancel() != 0 {
		_ = s.executor.Put(ctx, &submission{link: id, cancel: up.GetCancel()})
		return
	}
	request := wire.ToCall(up.GetCall(), s.clock.Now())
	if s.executor.Put(ctx, &submission{link: id, call: request}) != nil {
		sink.answer(ctx, call.Refusal(&request, unseen(&request), verdict.ReasonOverloaded))
	}
}

// unseen returns the verdict of a call that the door did not look at: a resend
// may have run before.
func unseen(request *call.Call) verdict.Verdict {
	if request.Resend && !request.Idempotent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
