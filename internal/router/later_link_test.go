package router

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/duty"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
	"endivespring/internal/wire/wirepb"
)

// laterLinkHarness is a gateway duty and the executor server of another router, whose
// submissions the test reads.
type laterLinkHarness struct {
	*gatewayHarness
	submissions *ring.Ring[*submission]
}

func newLaterLinkHarness(t *testing.T, ctx context.Context) *laterLinkHarness {
	t.Helper()
	h := &laterLinkHarness{gatewayHarness: newGatewayHarness(), submissions: ring.New[*submission]("submissions", 64, ring.Refuse)}
	server := peer.NewServer()
	wirepb.RegisterDoorsServer(server, &executorServer{fleet: "f", events: discardEvents{}, clock: clock.NewMonotonic(), executor: h.submissions})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	t.Cleanup(server.Stop)
	h.group = duty.NewGroup(ctx)
	upstream := lookupUpstream
	h.update(&session.Update{ViewUntil: h.clock.Now().Add(time.Hour), Change: &fleet.Change{
		Full: true, To: 1, Preset: &fleet.Preset{Services: []fleet.Service{
			{Name: "s", Operations: []fleet.Operation{{Name: "charge", Deadline: 20 * time.Second}}},
		}},
		Routers: []fleet.Router{{ID: "other", Session: 1, Address: listener.Addr().String(), Upstream: upstream}},
	}})
	go func() { _ = h.Run(ctx) }()
	return h
}

// charge submits a request that must not be repeated.
func (h *laterLinkHarness) charge(t *testing.T, ctx context.Context, number uint64, id string) ring.Reply[call.Answer] {
	t.Helper()
	reply := ring.NewReply[call.Answer]()
	assert.NilError(t, h.requests.Put(ctx, &caller.Request{
		Number: number, Reply: reply, Request: gateway.Request{ID: id, Service: "s", Operation: "charge", Received: h.clock.Now()},
	}))
	return reply
}

// chargeOnALaterLink submits a request and returns the sink of the link that it opens. It is sent
// on the earlier link, and answered, as long as the gateway has not retired that.
func (h *laterLinkHarness) chargeOnALaterLink(t *testing.T, ctx context.Context, earlier answerSink) (answerSink, ring.Reply[call.Answer]) {
	t.Helper()
	for {
		second := h.charge(t, ctx, 2, "second")
		s := h.take(t, ctx)
		if s.open != nil {
			h.take(t, ctx)
			return s.open, second
		}
		earlier.answer(ctx, call.Answer{Number: s.call.Number, RequestID: "second", Verdict: verdict.Ran, Status: 200})
		<-second.Out()
	}
}

func (h *laterLinkHarness) take(t *testing.T, ctx context.Context) *submission {
	t.Helper()
	s, err := h.submissions.Take(ctx)
	assert.NilError(t, err)
	return s
}

// Guards against a request that is given up while its upstream is at work (LOST): the router
// beside that upstream stops and retires the link, a link that is opened for a later call ends,
// and the end of the later link settled the calls on the earlier one, which still delivers answers.
func TestEndOfALaterLinkKeepsCallsOnTheEarlierOne(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	h := newLaterLinkHarness(t, ctx)
	first := h.charge(t, ctx, 1, "first")
	earlier := h.take(t, ctx).open
	running := h.take(t, ctx)
	assert.Equal(t, running.call.RequestID, "first")
	earlier.retire(ctx)
	later, second := h.chargeOnALaterLink(t, ctx, earlier)
	later.finish(ctx)
	answer := <-second.Out()
	assert.Equal(t, answer.Verdict, verdict.MayHaveRun)
	earlier.answer(ctx, call.Answer{Number: running.call.Number, RequestID: "first", Verdict: verdict.Ran, Status: 200})
	select {
	case answer := <-first.Out():
		assert.Equal(t, answer.Verdict, verdict.Ran, "reason %s", answer.Reason)
	case <-ctx.Done():
		t.Fatal("the first request was not answered")
	}
}

// Guards against an upstream that goes on working for a caller who has left (GONE): the
// cancellation of a call on a retired link was sent on a later link, where nobody knows the call.
func TestCancellationFollowsItsCallToARetiredLink(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	h := newLaterLinkHarness(t, ctx)
	h.charge(t, ctx, 1, "first")
	opened := h.take(t, ctx)
	running := h.take(t, ctx)
	opened.open.retire(ctx)
	h.chargeOnALaterLink(t, ctx, opened.open)
	assert.NilError(t, h.requests.Put(ctx, &caller.Request{Number: 1, Abandoned: true}))
	cancelled := h.take(t, ctx)
	assert.Equal(t, cancelled.cancel, running.call.Number)
	assert.Equal(t, cancelled.link, opened.link)
}
