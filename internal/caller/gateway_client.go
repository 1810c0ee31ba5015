package caller

import (
	"net"
	"sync/atomic"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// restartTime is the Retry-After of a stopping router: the time in which it usually runs
// again.
const restartTime = 500 * time.Millisecond

// GatewayClient is the client side of the gateway duty for front ends: it submits
// requests and waits for their answers. It is safe for concurrent use.
type GatewayClient struct {
	clock    clock.Clock
	requests *ring.Ring[*Request]
	observe  Observer
	stopping atomic.Bool
	refusing atomic.Bool
	next     atomic.Uint64
	limits   atomic.Pointer[fleet.CallerLimits]
	// memory is what the connections share, or nil.
	memory *Memory
}

// NewGatewayClient returns a client that submits requests over a ring and passes
// each answer to observe.
func NewGatewayClient(c clock.Clock, requests *ring.Ring[*Request], observe Observer) *GatewayClient {
	return &GatewayClient{clock: c, requests: requests, observe: observe}
}

// LimitMemory sets the memory that follows the limits, before requests are served.
func (g *GatewayClient) LimitMemory(m *Memory) {
	g.memory = m
	m.setLimits(g.Limits())
}

// SetLimits replaces the limits on callers' requests.
func (g *GatewayClient) SetLimits(limits fleet.CallerLimits) {
	g.limits.Store(&limits)
	if g.memory != nil {
		g.memory.setLimits(limits)
	}
}

// Limits returns the limits on callers' requests. A zero field means no limit.
func (g *GatewayClient) Limits() fleet.CallerLimits {
	if limits := g.limits.Load(); limits != nil {
		return *limits
	}
	return fleet.CallerLimits{}
}

// Stop makes front ends close each connection after its next response.
func (g *GatewayClient) Stop() { g.stopping.Store(true) }

// Stopping reports whether connections are to be closed.
func (g *GatewayClient) Stopping() bool { return g.stopping.Load() }

// Refuse makes the client refuse new requests, except those that the upstream beside the
// router sends while it runs a request.
func (g *GatewayClient) Refuse() { g.refusing.Store(true) }

// Observe passes on an answer that a front end gave without the gateway.
func (g *GatewayClient) Observe(answer *call.Answer, took time.Duration) { g.observe(answer, took) }

// Do submits a request from a connection to the gateway duty and blocks until its
// answer. If the ring is full, it answers overloaded. The request counts from its
// arrival, which a Connection knows. It must not share memory with the connection's
// buffers, which are reused while it is in flight.
func (g *GatewayClient) Do(connection net.Conn, request gateway.Request) call.Answer {
	start := time.Now()
	if g.refusing.Load() && !request.Nested && !request.Resend {
		answer := refusal(request.ID, verdict.ReasonStopping)
		answer.RetryAfter = restartTime
		g.observe(&answer, time.Since(start))
		return answer
	}
	reply := ring.NewReply[call.Answer]()
	number := g.next.Add(1)
	request.Received = takeArrival(connection, g.clock.Now())
	answer := refusal(request.ID, verdict.ReasonOverloaded)
	if err := g.requests.Put(noContext, &Request{Number: number, Request: request, Connection: connection, Reply: reply}); err == nil {
		answer = g.wait(connection, number, &request, reply)
	} else if request.Resend { // an earlier attempt may have run
		answer.Verdict = verdict.MayHaveRun
	}
	if answer.Verdict == verdict.NotRun && answer.RetryAfter == 0 && g.refusing.Load() {
		answer.RetryAfter = restartTime
	}
	g.observe(&answer, time.Since(start))
	return answer
}

// wait waits for the gateway's answer. Meanwhile it checks at intervals whether
// the caller has disconnected, and then reports the request as abandoned, or has sent
// its next request.
func (g *GatewayClient) wait(connection net.Conn, number uint64, request *gateway.Request, reply ring.Reply[call.Answer]) call.Answer {
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	disconnectCheck := time.NewTicker(disconnectCheckInterval)
	defer disconnectCheck.Stop()
	for {
		select {
		case answer := <-reply.Out():
			return answer
		case <-timeout.C:
			return call.Answer{RequestID: request.ID, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}
		case <-disconnectCheck.C:
			switch peer.SocketStateOf(connection) {
			case peer.SocketClosed:
				if g.requests.Put(noContext, &Request{Number: number, Abandoned: true}) == nil {
					disconnectCheck.Stop()
				}
			case peer.SocketReadable:
				if c, ok := connection.(*Connection); ok {
					c.markUnread()
				}
			}
		}
	}
}
