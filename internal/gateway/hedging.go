package gateway

import "endivespring/internal/clock"

const hedgesPerRequest = 1

// armHedge sets the timer after which a request's only call counts as late.
func (c *Core) armHedge(now clock.Instant, t *task) {
	if !t.mayHedgeNow() {
		return
	}
	if delay := t.service.hedgeDelay(t.hedgeQuantile); delay > 0 {
		c.setTimer(t, min(now.Add(delay), t.deadline))
	}
}

// hedge sends a second call of a request whose first one is late, if another
// door is open and the budget allows.
func (c *Core) hedge(now clock.Instant, t *task) {
	if !t.mayHedgeNow() || len(t.calls) != 1 || t.tries >= maxTries {
		return
	}
	router, ok := c.pick(now, t)
	if !ok || !t.service.hedges.spend() {
		return
	}
	t.hedges++
	c.send(now, t, router, true)
}

func (t *task) mayHedgeNow() bool { return t.hedgeQuantile > 0 && t.hedges < hedgesPerRequest }
