package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/memory"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
	"endivespring/internal/wire/wirepb"
)

// gatewayHarness is a gateway duty with its callers' server, beside an executor whose ring
// the test reads.
type gatewayHarness struct {
	*gatewayDuty
	log    *event.Log
	server *caller.Server
}

func newGatewayHarness() *gatewayHarness {
	now := clock.NewMonotonic()
	log := event.NewLog(io.Discard, "test")
	requests := ring.New[*caller.Request]("requests", 64, ring.Refuse)
	observe := func(*call.Answer, time.Duration) {}
	d := &gatewayDuty{
		self: "self", fleet: "f", core: gateway.New(gateway.Settings{Balancer: balancer.Settings{Self: "self"}, NoHedging: true}), clock: now, events: log,
		requests: requests, answers: ring.New[*inboundAnswer]("answers", 64, ring.Wait), executor: ring.New[*submission]("submissions", 64, ring.Refuse),
		questions: ring.New[*whereQuestion]("questions", 4, ring.Refuse), stop: ring.New[stopStep]("stop", int(stopSteps), ring.Refuse),
		updates: ring.New[session.Update]("updates", 4, ring.Wait), delegations: ring.New[executor.Delegation]("delegations", 4, ring.Refuse),
		pending: map[uint64]*caller.Request{}, tokens: map[uint64]uint64{}, links: map[fleet.RouterID]*link{}, delegatedRuns: map[uint64]uint64{},
		readiness: &readiness{}, hasPreset: ring.New[struct{}]("has-preset", 1, ring.DropOldest), client: caller.NewGatewayClient(now, requests, observe),
	}
	return &gatewayHarness{gatewayDuty: d, log: log, server: caller.NewServer(now, requests, 1<<10, observe)}
}

// setView puts a view with a service in use, with or without an upstream of it.
func (g *gatewayHarness) setView(version fleet.Version, upstreams ...fleet.Upstream) {
	change := &fleet.Change{Full: true, To: version, Preset: &fleet.Preset{Services: []fleet.Service{
		{Name: "s", Operations: []fleet.Operation{{Name: "lookup", Idempotent: true, Deadline: 10 * time.Second}}},
	}}}
	for _, u := range upstreams {
		change.Routers = append(change.Routers, fleet.Router{ID: "self", Session: 1, Upstream: u})
	}
	g.update(&session.Update{Change: change, ViewUntil: g.clock.Now().Add(time.Hour)})
}

var lookupUpstream = fleet.Upstream{Name: "u", Service: "s", Address: "a", Boot: "1", Slots: 32}

// open sends a lookup on a connection of its own.
func openLookup(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = fmt.Fprint(connection, "POST /v1/s/lookup HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	return connection
}

// Guards against requests that are sent on after their callers have left (GONE), in the order
// of events of the users' record: the requests are sent; the callers' deadlines pass, and they
// close their connections; only then does the router come to read the requests.
func TestRequestsOfGoneCallersAreNotSentOn(t *testing.T) {
	const gone = 15
	g := newGatewayHarness()
	g.setView(1, lookupUpstream)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	for range gone {
		assert.NilError(t, openLookup(t, listener.Addr().String()).Close())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { _ = g.Run(ctx) }()
	go func() {
		_ = g.server.App().Listener(caller.NewListener(listener, caller.NewMemory(g.clock, caller.MemoryLimits{
			MaxConnections: 64, MaxBody: 1 << 20, Connections: memory.NewBudget(4 << 20), Bodies: memory.NewBudget(1 << 20), Answers: memory.NewBudget(1 << 20),
		}, event.NewLog(io.Discard, "test"))))
	}()
	defer func() { _ = g.server.App().ShutdownWithTimeout(time.Second) }()
	for g.log.Count(event.RequestFinished) < gone {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, g.executor.Depth(), 0, "requests were sent on")

	waiting := openLookup(t, listener.Addr().String())
	defer func() { _ = waiting.Close() }()
	sent, err := g.executor.Take(ctx)
	assert.NilError(t, err)
	assert.Equal(t, sent.call.Service, "s")
}

// Guards against a parked request that is sent on when the view changes, although its caller
// has left: the gateway duty may learn of the change before it learns that the caller left.
func TestParkedRequestOfAGoneCallerIsNotSentOn(t *testing.T) {
	g := newGatewayHarness()
	g.setView(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	callerSide := openLookup(t, listener.Addr().String())
	routerSide, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = routerSide.Close() }()
	reply := ring.NewReply[call.Answer]()
	g.start(&caller.Request{Number: 1, Request: gateway.Request{ID: "a", Service: "s", Operation: "lookup"}, Connection: routerSide, Reply: reply})
	g.dispatch(context.Background())
	assert.Equal(t, g.core.Len(), 1, "parked")

	assert.NilError(t, callerSide.Close())
	for end := time.Now().Add(10 * time.Second); !g.pending[1].Disconnected(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	g.setView(2, lookupUpstream)
	g.dispatch(context.Background())
	assert.Equal(t, g.executor.Depth(), 0)
	assert.Equal(t, g.core.Len(), 0)
	answer := <-reply.Out()
	assert.Equal(t, answer.Verdict, verdict.NotRun)
	assert.Equal(t, answer.Reason, verdict.ReasonCancelled)
}

// Guards against a call that is sent on a link that took long to open although its caller has
// left meanwhile.
func TestQueuedCallOfAGoneCallerIsNotSent(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	now := clock.NewMonotonic()
	submissions := ring.New[*submission]("submissions", 64, ring.Refuse)
	server := peer.NewServer()
	wirepb.RegisterDoorsServer(server, &executorServer{fleet: "f", events: discardEvents{}, clock: now, executor: submissions})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Stop()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = callers.Close() }()
	accept := func() (far, near net.Conn) {
		far, err := net.Dial("tcp", callers.Addr().String())
		assert.NilError(t, err)
		near, err = callers.Accept()
		assert.NilError(t, err)
		return far, near
	}
	goneCaller, gone := accept()
	waitingCaller, waiting := accept()
	defer func() { _ = waitingCaller.Close() }()
	answers := ring.New[*inboundAnswer]("answers", 64, ring.Wait)
	l := newLink("f", fleet.Router{ID: "r", Address: listener.Addr().String()}, &atomic.Int64{}, now, answers, discardEvents{})
	deadline := now.Now().Add(time.Minute)
	queue := func(number uint64, connection net.Conn) {
		out := &outgoingCall{call: call.Call{Number: number, Deadline: deadline}, request: &caller.Request{Connection: connection}, queuedAt: now.Now()}
		assert.NilError(t, l.calls.Put(ctx, out))
	}
	queue(1, gone)
	queue(2, waiting)
	assert.NilError(t, goneCaller.Close())
	go func() { _ = l.Run(ctx) }()
	time.Sleep(2 * callerCheckDelay) // the link waits for the other router
	go func() { _ = peer.Serve(server, listener) }()

	opened, err := submissions.Take(ctx)
	assert.NilError(t, err)
	assert.Assert(t, opened.open != nil)
	first, err := submissions.Take(ctx)
	assert.NilError(t, err)
	assert.Equal(t, first.call.Number, uint64(2))
	lost, err := answers.Take(ctx)
	assert.NilError(t, err)
	assert.Assert(t, lost.lost && lost.answer.Number == 1)
	assert.Equal(t, lost.verdict, verdict.NotRun)
}
