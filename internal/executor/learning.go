package executor

import (
	"endivespring/internal/admission"
	"endivespring/internal/clock"
	"endivespring/internal/event"
)

// LearnCapacity sets whether the limit for the upstream is learned from run times, in
// addition to the limit that follows from its health.
func (c *Core) LearnCapacity(on bool) { c.limiter.LearnCapacity(on) }

// LearnedLimit returns the learned limit, or zero if none is learned.
func (c *Core) LearnedLimit() int { return c.limiter.Learned() }

// SlowdownAt returns the slowdown of Load as of an instant, for a load that is sent
// without a step.
func (c *Core) SlowdownAt(now clock.Instant) float64 { return c.slowdown.at(now) }

// learn passes a run that the upstream answered to the learner, and logs a change of
// the learned limit. A run of an earlier boot tells nothing of the present one.
func (c *Core) learn(now clock.Instant, j *job, outcome *Outcome) {
	if outcome.Health != admission.Good || j.upstream.Boot != c.upstream.Boot {
		return
	}
	c.limiter.Observe(now, &admission.Sample{
		Operation: j.call.Operation, RunTime: now.Sub(j.started), Concurrency: j.concurrency, Report: outcome.Report,
	})
	if change, ok := c.limiter.TakeLearnedChange(); ok {
		c.log(event.LimitLearned, event.F("upstream", c.upstream.Name), event.F("boot", c.upstream.Boot),
			event.F("from", change.From), event.F("limit", change.To), event.F("compared", change.Compared),
			event.F("ratio", change.Ratio), event.F("pairs", change.Pairs))
	}
}
