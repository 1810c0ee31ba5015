package caller

import (
	"net"
	"sync/atomic"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// Gate is the way of a front end to the entry duty: it hands requests over and
// waits for their answers.
type Gate struct {
	requests *ring.Ring[*Request]
	observe  Observer
	stopping atomic.Bool
	next     atomic.Uint64
	limits   atomic.Pointer[fleet.CallerLimits]
}

// NewGate returns a gate that hands requests to a ring and shows each answer to
// observe.
func NewGate(requests *ring.Ring[*Request], observe Observer) *Gate {
	return &Gate{requests: requests, observe: observe}
}

// SetLimits bounds what callers may send from now on.
func (g *Gate) SetLimits(limits fleet.CallerLimits) { g.limits.Store(&limits) }

// Limits returns what callers may send; fields are zero if nothing bounds them.
func (g *Gate) Limits() fleet.CallerLimits {
	if limits := g.limits.Load(); limits != nil {
		return *limits
	}
	return fleet.CallerLimits{}
}

// Stop makes front ends close each connection after its next answer.
func (g *Gate) Stop() { g.stopping.Store(true) }

// Stopping reports whether connections are to be closed.
func (g *Gate) Stopping() bool { return g.stopping.Load() }

// Observe shows an answer that the entry did not give.
func (g *Gate) Observe(answer *call.Answer, took time.Duration) { g.observe(answer, took) }

// Ask hands a request of a connection to the entry duty and waits for the
// answer. The request must not share memory with the connection's buffers.
func (g *Gate) Ask(connection net.Conn, request gateway.Request) call.Answer {
	start := time.Now()
	reply := ring.NewReply[call.Answer]()
	number := g.next.Add(1)
	answer := refusal(request.ID, verdict.ReasonOverloaded)
	if err := g.requests.Put(noContext, &Request{Number: number, Request: request, Reply: reply}); err == nil {
		answer = g.wait(connection, number, &request, reply)
	} else if request.Resend { // what was sent before may have run
		answer.Verdict = verdict.MayHaveRun
	}
	g.observe(&answer, time.Since(start))
	return answer
}

// wait waits for the entry's answer and looks now and then whether the caller
// is still there.
func (g *Gate) wait(connection net.Conn, number uint64, request *gateway.Request, reply ring.Reply[call.Answer]) call.Answer {
	patience := time.NewTimer(answerPatience)
	defer patience.Stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	for {
		select {
		case answer := <-reply.Out():
			return answer
		case <-patience.C:
			return call.Answer{RequestID: request.ID, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}
		case <-look.C:
			if peer.Look(connection) == peer.SocketClosed && g.requests.Put(noContext, &Request{Number: number, Abandoned: true}) == nil {
				look.Stop()
			}
		}
	}
}
