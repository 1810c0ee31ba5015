package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

const (
	// rankNested is the rank of calls that a run elsewhere waits for: refusing
	// one wastes what that run has done.
	rankNested = 0
	// rankLate is added to the rank of requests that miss their objective anyway.
	rankLate = 1000
	// lateWait is how long such a request waits for a place: less than a queue
	// takes to turn over, so that it takes only places that nobody needs.
	lateWait = 40 * time.Millisecond
	// runShare is the share of its typical run time that a request must have
	// left when it starts. Run times spread, so that many need less than that.
	runShare = 0.6
	// typicalWeight is the weight of a new sample in an operation's run time.
	typicalWeight = 0.1
)

// order sets the place of a job in the queue: its rank, and when it is of no
// more use to start it.
func (c *Core) order(now clock.Instant, j *job) {
	request := &j.call
	j.expires = request.Deadline
	if request.Method == "" {
		return
	}
	needs := time.Duration(runShare * float64(c.typicalRun(request.Operation)))
	j.expires = request.Deadline.Add(-needs)
	switch start := request.Objective.Add(-needs); {
	case request.Nested:
		j.rank = rankNested
	case request.Objective == 0:
		j.rank = 1 + request.Priority
	case start > now:
		j.rank, j.expires = 1+request.Priority, min(j.expires, start)
	default:
		j.rank, j.expires = rankLate+request.Priority, min(j.expires, now.Add(lateWait))
	}
}

// typicalRun returns the moving average of an operation's run times.
func (c *Core) typicalRun(operation string) time.Duration {
	if typical, ok := c.typical[operation]; ok {
		return typical
	}
	return c.limiter.Latency()
}

// observeRun takes the run time of an operation.
func (c *Core) observeRun(operation string, took time.Duration) {
	if typical, ok := c.typical[operation]; ok {
		took = typical + time.Duration(typicalWeight*float64(took-typical))
	}
	c.typical[operation] = took
}

// room reports whether a job may join the queue: it is estimated to start while
// that is of use. A full queue makes room by refusing a call of lower rank.
func (c *Core) room(now clock.Instant, j *job) bool {
	limit := max(1, c.limiter.Limit())
	ahead := c.ahead(j)
	paced := c.limiter.PaceDelay(now, ahead)
	if ahead == 0 && c.limiter.Running() < limit && paced == 0 {
		return true
	}
	wait := time.Duration(float64(ahead+1)*float64(c.limiter.Latency())/float64(limit)) + paced
	if now.Add(wait) > j.expires {
		return false
	}
	bound := 0
	if s := c.view.Preset.Service(j.call.Service); s != nil {
		bound = s.QueueLimit
	}
	return len(c.queue) < bound || c.evict(j)
}

// ahead returns the number of queued jobs that go before another.
func (c *Core) ahead(j *job) int {
	ahead := 0
	for _, other := range c.queue {
		if before(other, j) {
			ahead++
		}
	}
	return ahead
}

// evict refuses the last queued job if it goes after another one.
func (c *Core) evict(j *job) bool {
	last := j
	for _, other := range c.queue {
		if before(last, other) {
			last = other
		}
	}
	if last == j {
		return false
	}
	c.expel(last, verdict.ReasonOverloaded)
	return true
}

// sweep refuses queued jobs that it is of no more use to start, or that must
// not run any more.
func (c *Core) sweep(now clock.Instant) {
	if now < c.expireAt {
		return
	}
	for _, j := range append(jobHeap(nil), c.queue...) {
		if reason := c.stale(now, j); reason != verdict.ReasonNone {
			c.expel(j, reason)
		}
	}
	c.expireAt = clock.Never
	for _, j := range c.queue {
		c.expireAt = min(c.expireAt, j.expires)
	}
}

// expel refuses a queued job.
func (c *Core) expel(j *job, reason verdict.Reason) {
	c.decideRefusal(&j.call, verdict.NotRun, reason)
	c.end(j, call.Refusal(&j.call, verdict.NotRun, reason))
}
