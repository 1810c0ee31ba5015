package gateway

import (
	"slices"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// pendingRequest is a request in flight.
type pendingRequest struct {
	request    Request
	idempotent bool
	sharded    bool
	shard      fleet.ShardID
	// ranged is set if only the upstream that holds the key may run the request.
	ranged   bool
	deadline clock.Instant
	// objective is the instant until which an answer meets the route's latency
	// objective, or zero.
	objective clock.Instant
	// waitUntil is when a parked request is refused, and from when a routed one is
	// not retried after an executor's refusal.
	waitUntil clock.Instant
	// route is nil for an operation called by name.
	route *fleet.Route
	// upstreamAttempts counts the calls that may have reached an upstream.
	upstreamAttempts int
	// executorRefusals counts the calls refused by an executor, redirects excluded.
	executorRefusals int
	service          *serviceState
	// hedgeQuantile is zero for requests that are never hedged.
	hedgeQuantile float64
	hedges        int
	timer         clock.Instant
	// calls are the numbers of the calls in flight.
	calls []uint64
	// attempted are the routers called so far. Parking clears it for a request
	// without an owner, which may then go to any of them again.
	attempted []fleet.RouterID
	// attempts counts the calls, parkings how often the request was parked.
	attempts int
	parkings int
	// mayHaveRun is set once a call of the request ended without proof that it did
	// not run.
	mayHaveRun bool
	// retryWithdrawn is set while a token of the retry budget is withdrawn for a call that is
	// not sent yet.
	retryWithdrawn bool
	// refusedByLoad is set if the request is refused because of load reports. No executor
	// has then spoken for earlier sends of it.
	refusedByLoad bool
	// reason is that of the last answer, or why no call was sent.
	reason verdict.Reason
	// timerIndex is the index in Core.timers, parkedIndex that in Core.parked.
	timerIndex  int
	parkedIndex int
}

func (p *pendingRequest) removeCall(number uint64) {
	if i := slices.Index(p.calls, number); i >= 0 {
		p.calls = slices.Delete(p.calls, i, i+1)
	}
}

// withdrawRetry withdraws a token of the retry budget and reports whether there was one.
func (p *pendingRequest) withdrawRetry() bool {
	p.retryWithdrawn = p.service.retryBudget.withdraw()
	return p.retryWithdrawn
}

// returnRetry returns the token of a retry that is refused because of the load.
func (p *pendingRequest) returnRetry() {
	if p.retryWithdrawn {
		p.service.retryBudget.deposit(1)
		p.retryWithdrawn = false
	}
}

// priority returns the route's priority, where 0 is the highest, and 0 for an
// operation called by name.
func (p *pendingRequest) priority() int {
	if p.route == nil {
		return 0
	}
	return p.route.Priority
}

// isReturning reports whether a part of the request's objective had passed before it came
// here: its caller has then most probably been refused before.
func (p *pendingRequest) isReturning(now clock.Instant) bool {
	return p.route != nil && p.objective > 0 && p.objective < p.request.receivedAt(now).Add(p.route.Objective-returnSlice)
}
