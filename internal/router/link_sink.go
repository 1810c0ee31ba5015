package router

import (
	"context"

	"endivespring/internal/call"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// linkSink queues the executor's answers for the stream of another router's gateway. A
// nil message ends the stream.
type linkSink struct {
	out         *ring.Ring[*wirepb.DoorDown]
	closeStream func()
}

// answer closes the stream if its ring is full, that is, if the gateway reads too
// slowly. The gateway then treats the calls in flight as having an unknown outcome.
func (s *linkSink) answer(ctx context.Context, a call.Answer) bool {
	if s.out.Put(ctx, &wirepb.DoorDown{Answer: wire.FromAnswer(&a)}) != nil {
		s.closeStream()
		return false
	}
	return true
}

func (s *linkSink) report(ctx context.Context, load *call.Load) bool {
	return s.out.Depth() < s.out.Capacity()/2 && s.out.Put(ctx, &wirepb.DoorDown{Load: wire.FromLoad(load)}) == nil
}

func (s *linkSink) retire(ctx context.Context) {
	if s.out.Put(ctx, &wirepb.DoorDown{Closing: true}) != nil {
		s.closeStream()
	}
}

func (s *linkSink) finish(ctx context.Context) {
	if s.out.Put(ctx, nil) != nil {
		s.closeStream()
	}
}
