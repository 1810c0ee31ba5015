package router

import (
	"context"
	"errors"
	"io"
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

const linkAnswerCapacity = 512 // answers queued for one stream, as many as calls are queued for a link

// executorServer is the gRPC service for calls from the gateways of other routers.
type executorServer struct {
	wirepb.UnimplementedDoorsServer
	fleet    string
	events   event.Recorder
	clock    clock.Clock
	executor *ring.Ring[*submission]
	lastLink atomic.Uint64
}

// Link connects the stream of one gateway to the executor duty. It returns when the
// stream fails or its answers are not read fast enough.
func (s *executorServer) Link(stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown]) error {
	first, err := s.handshake(stream)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	id := localLink + s.lastLink.Add(1)
	sink := &linkSink{out: ring.New[*wirepb.DoorDown]("link-answers", linkAnswerCapacity, ring.Refuse), closeStream: cancel}
	if s.executor.Put(ctx, &submission{link: id, open: sink}) != nil {
		return status.Error(codes.ResourceExhausted, "executor is overloaded: submission queue is full")
	}
	go func() {
		s.handle(ctx, first, id, sink)
		if !s.receive(ctx, stream, id, sink) {
			cancel()
		}
	}()
	s.send(ctx, stream, sink)
	s.unregisterLink(id)
	return status.Error(codes.Unavailable, "link ended")
}

// handshake reads the first message and refuses a stream of another fleet.
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

// unregisterLink tells the executor duty that the link has ended. The ring may
// be full for a moment, so this waits for room: a lost message would leak the answer
// sink and leave the link's calls running.
func (s *executorServer) unregisterLink(id uint64) {
	_ = s.executor.PutWait(context.Background(), &submission{link: id, closed: true})
}

func (s *executorServer) send(ctx context.Context, stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown], sink *linkSink) {
	for {
		down, err := sink.out.Take(ctx)
		if err != nil || down == nil {
			return
		}
		if stream.Send(down) != nil {
			return
		}
	}
}

// receive handles messages until the stream fails, or the gateway half-closes it because
// it sends no more calls. It reports whether the latter is the case: answers then may
// still be sent.
func (s *executorServer) receive(ctx context.Context, stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown], id uint64, sink *linkSink) (halfClosed bool) {
	for {
		up, err := stream.Recv()
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		s.handle(ctx, up, id, sink)
	}
}

func (s *executorServer) handle(ctx context.Context, up *wirepb.DoorUp, id uint64, sink *linkSink) {
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
		sink.answer(ctx, call.Refusal(&request, overloadVerdict(&request), verdict.ReasonOverloaded))
	}
}

// overloadVerdict returns the verdict of a call that was refused before the executor
// looked at it. An earlier attempt of a resend may have run.
func overloadVerdict(request *call.Call) verdict.Verdict {
	if request.Resend && !request.Idempotent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
