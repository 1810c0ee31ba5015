package router

import (
	"context"

	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/ring"
)

// localSink queues the executor's answers for the gateway duty of the same process.
type localSink struct {
	self    fleet.RouterID
	answers *ring.Ring[*inboundAnswer]
}

func (s *localSink) answer(ctx context.Context, a call.Answer) bool {
	return s.answers.Put(ctx, &inboundAnswer{from: s.self, answer: a}) == nil
}

func (s *localSink) report(ctx context.Context, load *call.Load) bool {
	return s.answers.Depth() < s.answers.Capacity()/2 && s.answers.Put(ctx, &inboundAnswer{from: s.self, load: load}) == nil
}

// retire does nothing: the gateway of this process stops by itself.
func (s *localSink) retire(context.Context) {}

// finish does nothing.
func (s *localSink) finish(context.Context) {}
