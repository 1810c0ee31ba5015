package gateway

import (
	"cmp"
	"maps"
	"slices"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

// RefuseWaiting refuses the requests without a call in flight because the router is stopping.
// From now on new requests are refused, and none is sent again.
func (c *Core) RefuseWaiting(now clock.Instant) {
	c.stopping = true
	for _, p := range c.inOrder() {
		if len(p.calls) == 0 {
			c.finish(now, p, &call.Answer{RequestID: p.request.ID, Verdict: verdict.NotRun, Reason: verdict.ReasonStopping})
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
