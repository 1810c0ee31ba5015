package gateway

import "endivespring/internal/clock"

const maxHedgesPerRequest = 1

// scheduleHedge sets the timer after which the request is hedged unless its first
// call was answered before.
func (c *Core) scheduleHedge(now clock.Instant, p *pendingRequest) {
	if !p.hedgeAllowed() {
		return
	}
	if delay := p.service.hedgeDelay(p.hedgeQuantile); delay > 0 {
		c.setTimer(p, min(now.Add(delay), p.deadline))
	}
}

// sendHedge sends a second call of a request whose only call is late, if another
// executor is available and the hedge budget has a token.
func (c *Core) sendHedge(now clock.Instant, p *pendingRequest) {
	if c.stopping || !p.hedgeAllowed() || len(p.calls) != 1 || p.attempts >= maxAttempts {
		return
	}
	router, ok := c.chooseExecutor(now, p)
	if !ok || !p.service.hedgeBudget.withdraw() {
		return
	}
	p.hedges++
	c.send(now, p, router, true)
}

// hedgeAllowed reports whether the request may get another hedge.
func (p *pendingRequest) hedgeAllowed() bool {
	return p.hedgeQuantile > 0 && p.hedges < maxHedgesPerRequest
}
