package router

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
	"endivespring/internal/wire/wirepb"
)

// retiredLinkHarness is a link to the executor server of another router, whose submissions the
// test reads.
type retiredLinkHarness struct {
	link        *link
	answers     *ring.Ring[*inboundAnswer]
	submissions *ring.Ring[*submission]
	clock       clock.Clock
}

func newRetiredLinkHarness(t *testing.T, ctx context.Context) *retiredLinkHarness {
	t.Helper()
	h := &retiredLinkHarness{
		answers: ring.New[*inboundAnswer]("answers", 64, ring.Wait), submissions: ring.New[*submission]("submissions", 64, ring.Refuse),
		clock: clock.NewMonotonic(),
	}
	server := peer.NewServer()
	wirepb.RegisterDoorsServer(server, &executorServer{fleet: "f", events: discardEvents{}, clock: h.clock, executor: h.submissions})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	t.Cleanup(server.Stop)
	h.link = newLink("f", fleet.Router{ID: "r", Address: listener.Addr().String()}, &atomic.Int64{}, h.clock, h.answers, discardEvents{})
	go func() { _ = h.link.Run(ctx) }()
	return h
}

func (h *retiredLinkHarness) send(t *testing.T, ctx context.Context, number uint64) {
	t.Helper()
	assert.NilError(t, h.link.calls.Put(ctx, &outgoingCall{call: call.Call{Number: number, Deadline: h.clock.Now().Add(time.Minute)}}))
}

func (h *retiredLinkHarness) cancel(t *testing.T, ctx context.Context, number uint64) {
	t.Helper()
	assert.NilError(t, h.link.calls.Put(ctx, &outgoingCall{call: call.Call{Number: number}, cancel: true}))
}

func (h *retiredLinkHarness) submitted(t *testing.T, ctx context.Context) *submission {
	t.Helper()
	s, err := h.submissions.Take(ctx)
	assert.NilError(t, err)
	return s
}

func (h *retiredLinkHarness) answer(t *testing.T, ctx context.Context) *inboundAnswer {
	t.Helper()
	in, err := h.answers.Take(ctx)
	assert.NilError(t, err)
	return in
}

// Guards against a call that is neither sent nor settled, so that its caller is told too late that
// it may have run: it is queued on a link that is retired while no call is in flight on it.
func TestCallOnALinkThatRetiresIdleIsSettled(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	h := newRetiredLinkHarness(t, ctx)
	h.send(t, ctx, 1)
	sink := h.submitted(t, ctx).open
	h.submitted(t, ctx)
	sink.answer(ctx, call.Answer{Number: 1, Verdict: verdict.Ran, Status: 200})
	h.answer(t, ctx)
	sink.retire(ctx)
	assert.Equal(t, h.answer(t, ctx).retired, h.link)
	h.send(t, ctx, 2)
	lost := h.answer(t, ctx)
	assert.Assert(t, lost.lost)
	assert.Equal(t, lost.answer.Number, uint64(2))
	assert.Equal(t, lost.verdict, verdict.NotRun)
}

// Guards against an upstream that goes on working for a caller who has left (GONE): the answer and
// the cancellation of another call crossed, so that no call seemed to be in flight on the link
// when it was retired.
func TestCancellationIsSentOnARetiredLinkAfterOthersCrossed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	h := newRetiredLinkHarness(t, ctx)
	h.send(t, ctx, 1)
	sink := h.submitted(t, ctx).open
	h.submitted(t, ctx)
	h.send(t, ctx, 2)
	h.submitted(t, ctx)
	sink.answer(ctx, call.Answer{Number: 2, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline})
	h.answer(t, ctx)
	h.cancel(t, ctx, 2)
	assert.Equal(t, h.submitted(t, ctx).cancel, uint64(2))
	sink.retire(ctx)
	assert.Equal(t, h.answer(t, ctx).retired, h.link)
	h.cancel(t, ctx, 1)
	assert.Equal(t, h.submitted(t, ctx).cancel, uint64(1))
}
