package router

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/memory"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
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
	// buffers makes the buffers of bodies that arrive in parts.
	buffers  *memory.Buffers
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
	link := &executorLink{id: id, clock: s.clock, executor: s.executor, sink: sink, bodies: bodyJoiner{buffers: s.buffers, calls: map[uint64]*incomingCall{}}}
	go func() {
		if link.handle(ctx, first) != nil || !link.receive(ctx, stream) {
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
	peer.Admit(stream.Context())
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
