package router

import (
	"context"

	"endivespring/internal/call"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// linkSink brings answers of the door to the stream of another router's entry.
type linkSink struct {
	out *ring.Ring[*wirepb.DoorDown]
	cut func()
}

// answer refuses when the stream is too slow: the stream is cut, and its entry
// takes the calls under way as unknown.
func (s *linkSink) answer(ctx context.Context, a call.Answer) bool {
	if s.out.Put(ctx, &wirepb.DoorDown{Answer: wire.FromAnswer(&a)}) != nil {
		s.cut()
		return false
	}
	return true
}
