package router

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/memory"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const (
	largeBody = 4 << 20 // bytes of a body that is sent in parts
	partsTime = 30 * time.Second
)

// partsHarness is a link to an executor server, whose ring the test reads.
type partsHarness struct {
	t           *testing.T
	ctx         context.Context
	link        *link
	server      *grpc.Server
	submissions *ring.Ring[*submission]
	answers     *ring.Ring[*inboundAnswer]
	budget      *memory.Budget
}

func newPartsHarness(t *testing.T, budget int, takesParts bool) *partsHarness {
	ctx, cancel := context.WithTimeout(context.Background(), partsTime)
	t.Cleanup(cancel)
	now := clock.NewMonotonic()
	h := &partsHarness{
		t: t, ctx: ctx, server: peer.NewServer(), budget: memory.NewBudget(budget),
		submissions: ring.New[*submission]("submissions", 64, ring.Refuse), answers: ring.New[*inboundAnswer]("answers", 64, ring.Wait),
	}
	buffers := memory.NewBuffers(h.budget)
	go func() { _ = buffers.Run(ctx) }()
	wirepb.RegisterDoorsServer(h.server, &executorServer{fleet: "f", events: discardEvents{}, clock: now, executor: h.submissions, buffers: buffers})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(h.server, listener) }()
	t.Cleanup(h.server.Stop)
	h.link = newLink("f", fleet.Router{ID: "r", Address: listener.Addr().String(), TakesParts: takesParts}, &atomic.Int64{}, now, h.answers, discardEvents{})
	go func() { _ = h.link.Run(ctx) }()
	return h
}

func (h *partsHarness) send(number uint64, body []byte) {
	out := &outgoingCall{call: call.Call{Number: number, Body: body, Deadline: clock.NewMonotonic().Now().Add(time.Minute)}}
	assert.NilError(h.t, h.link.calls.Put(h.ctx, out))
}

func (h *partsHarness) cancel(number uint64) {
	assert.NilError(h.t, h.link.calls.Put(h.ctx, &outgoingCall{call: call.Call{Number: number}, cancel: true}))
}

func (h *partsHarness) take() *submission {
	h.t.Helper()
	s, err := h.submissions.Take(h.ctx)
	assert.NilError(h.t, err)
	return s
}

// awaitFree waits until all memory is given back.
func (h *partsHarness) awaitFree(bytes int) {
	h.t.Helper()
	for h.budget.Left() != bytes {
		assert.NilError(h.t, h.ctx.Err())
		runtime.GC()
		time.Sleep(time.Millisecond)
	}
}

func pattern(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i * 31 >> 4)
	}
	return body
}

// Guards against large bodies that are copied several times on their way, and that hold up
// other calls on their link: they arrive in parts, with other calls in between.
func TestLargeBodiesArriveInParts(t *testing.T) {
	h := newPartsHarness(t, 3*largeBody, true)
	bodies := map[uint64][]byte{1: pattern(largeBody), 2: pattern(largeBody - 77), 3: []byte("small"), 4: pattern(wire.MaxInlineBody)}
	for number := uint64(1); number <= 4; number++ {
		h.send(number, bodies[number])
	}
	opened := h.take()
	assert.Assert(t, opened.open != nil)
	var order []uint64
	var taken [][]byte
	held := 0
	for range bodies {
		s := h.take()
		assert.Assert(t, bytes.Equal(s.call.Body, bodies[s.call.Number]), "body of call %d", s.call.Number)
		if len(s.call.Body) > wire.MaxInlineBody {
			taken, held = append(taken, s.call.Body[len(s.call.Body)-1:]), held+len(s.call.Body)
		}
		order = append(order, s.call.Number)
	}
	runtime.GC()
	assert.Equal(t, h.budget.Used(), held)
	runtime.KeepAlive(taken)
	assert.Assert(t, order[0] == 3 && order[1] == 4, "calls arrive as %v", order)
	h.awaitFree(3 * largeBody)
}

// Guards against bodies of many gateways that together use up an executor's memory.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	h := newPartsHarness(t, largeBody, true)
	h.send(1, pattern(largeBody+1))
	h.send(2, pattern(largeBody))
	assert.Assert(t, h.take().open != nil)
	refused, err := h.answers.Take(h.ctx)
	assert.NilError(t, err)
	assert.Equal(t, refused.answer.Number, uint64(1))
	assert.Equal(t, refused.answer.Verdict, verdict.NotRun)
	assert.Equal(t, refused.answer.Reason, verdict.ReasonOverloaded)
	s := h.take()
	assert.Equal(t, s.call.Number, uint64(2))
	runtime.GC()
	assert.Equal(t, h.budget.Left(), 0)
	runtime.KeepAlive(s)
	s = nil
	h.awaitFree(largeBody)
}

// Guards against memory of a body that is never complete: its caller has gone, or its link has
// ended. In the latter case the call is known not to have run.
func TestIncompleteBodiesAreForgotten(t *testing.T) {
	const huge = 64 << 20
	h := newPartsHarness(t, huge, true)
	h.send(1, make([]byte, huge))
	assert.Assert(t, h.take().open != nil)
	for h.budget.Left() == huge {
		time.Sleep(time.Millisecond)
	}
	h.cancel(1)
	h.awaitFree(huge)
	assert.Equal(t, h.submissions.Depth(), 0)

	h.send(2, make([]byte, huge))
	for h.budget.Left() == huge {
		time.Sleep(time.Millisecond)
	}
	h.server.Stop()
	h.awaitFree(huge)
	lost, err := h.answers.Take(h.ctx)
	assert.NilError(t, err)
	assert.Assert(t, lost.lost && lost.answer.Number == 2)
	assert.Equal(t, lost.verdict, verdict.NotRun)
}

// A router of an earlier build gets bodies whole.
func TestRoutersOfAnEarlierBuildGetNoParts(t *testing.T) {
	h := newPartsHarness(t, largeBody, false)
	h.send(1, pattern(largeBody))
	assert.Assert(t, h.take().open != nil)
	s := h.take()
	assert.Assert(t, bytes.Equal(s.call.Body, pattern(largeBody)) && h.budget.Left() == largeBody)
}

// The memory of a body is given back once its call is answered or cancelled, or its link ends, and
// its run has completed.
func TestExecutorGivesBodiesBack(t *testing.T) {
	for name, end := range map[string]func(s *executorHarness){
		"answered":   func(s *executorHarness) { s.time.now = s.time.now.Add(time.Minute); s.tick(s.ctx) },
		"cancelled":  func(s *executorHarness) { s.submit(&submission{link: 1, cancel: 1}) },
		"link ended": func(s *executorHarness) { s.submit(&submission{link: 1, closed: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newExecutorHarness(8)
			const size = 64 << 10
			budget := memory.NewBudget(size)
			body := memory.NewBuffers(budget).Make(size)
			s.submit(&submission{link: 1, call: call.Call{
				Number: 1, RequestID: "a", Service: "s", Idempotent: true, Body: body, Deadline: s.time.now.Add(time.Second),
			}})
			body = nil
			s.dispatch(s.ctx)
			runtime.GC()
			assert.Equal(t, budget.Left(), 0)
			end(s)
			s.dispatch(s.ctx)
			runtime.GC()
			assert.Equal(t, budget.Left(), 0, "the sender has it")
			run := <-s.runs.Out()
			s.complete(executor.Outcome{Run: run.run.ID, Answer: call.Refusal(&run.run.Call, verdict.MayHaveRun, "")})
			s.dispatch(s.ctx)
			run = outboundRun{}
			for range 100 {
				runtime.GC()
				if budget.Left() == size {
					break
				}
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, budget.Left(), size)
			runtime.KeepAlive(s)
		})
	}
}
