package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

// minEndTime is the least time that a request must have left when it arrives at a stopping router.
const minEndTime = time.Second

// StopBy sets when the requests of a stopping router are broken off. From now on
// a nested request is refused if it may last longer and is not expected to end before. Other
// requests are refused by the front ends.
func (c *Core) StopBy(end clock.Instant) { c.endsAt = end }

// outlasts reports whether a request that arrives must be refused because the router may end
// before its run.
func (c *Core) outlasts(now clock.Instant, p *pendingRequest) bool {
	if c.endsAt == 0 || !p.request.Nested || p.deadline <= c.endsAt {
		return false
	}
	needs := max(minEndTime, call.StopReserve(c.runTimes[p.route.Name]))
	return now.Add(needs) > c.endsAt
}

// RefuseWaiting refuses the requests without a call in flight because the router is stopping, and
// withdraws the calls in flight. From now on new requests are refused, and none that is proved not
// to have run is sent again. An idempotent request of which a call may have run cannot be refused
// as not-run any more: it is still sent until EndRequests.
func (c *Core) RefuseWaiting(now clock.Instant) {
	c.stopping = true
	for _, p := range c.inOrder() {
		if p.mayHaveRun {
			continue
		}
		if len(p.calls) == 0 {
			c.finish(now, p, &call.Answer{RequestID: p.request.ID, Verdict: verdict.NotRun, Reason: verdict.ReasonStopping})
		}
		for _, number := range p.calls {
			c.output.Withdrawals = append(c.output.Withdrawals, Cancel{Router: c.callsByNumber[number].router, Number: number})
		}
	}
}

// EndRequests answers all requests because the router is stopping. Those with a call in flight
// may have run.
func (c *Core) EndRequests(now clock.Instant) {
	c.RefuseWaiting(now)
	for _, p := range c.inOrder() {
		c.finish(now, p, &call.Answer{RequestID: p.request.ID, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStopping})
	}
}

// Waiting returns the number of requests without a call in flight.
func (c *Core) Waiting() int {
	waiting := 0
	for _, p := range c.requestsByToken {
		if len(p.calls) == 0 {
			waiting++
		}
	}
	return waiting
}

// inOrder returns the requests in flight in the order of their tokens.
func (c *Core) inOrder() []*pendingRequest {
	return slices.SortedFunc(maps.Values(c.requestsByToken), func(a, b *pendingRequest) int { return cmp.Compare(a.request.Token, b.request.Token) })
}
