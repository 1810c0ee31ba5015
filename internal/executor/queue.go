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
	maxLateWait = 40 * time.Millisecond
	// runShare is the share of its typical run time that a request must have
	// left when it starts. Run times spread, so that many need less than that.
	runTimeShare = 0.6
	// typicalWeight is the weight of a new sample in an operation's run time.
	runTimeWeight = 0.1
)

// order sets the place of a job in the queue: its rank, and when it is of no
// more use to start it.
func (c *Core) setQueueOrder(now clock.Instant, j *job) {
	request := &j.call
	j.startBy = request.Deadline
	if request.Method == "" {
		return
	}
	needs := time.Duration(runTimeShare * float64(c.expectedRunTime(request.Operation)))
	j.startBy = request.Deadline.Add(-needs)
	switch start := request.Objective.Add(-needs); {
	case request.Nested:
		j.rank = rankNested
	case request.Objective == 0:
		j.rank = 1 + request.Priority
	case start > now:
		j.rank, j.startBy = 1+request.Priority, min(j.startBy, start)
	default:
		j.rank, j.startBy = rankLate+request.Priority, min(j.startBy, now.Add(maxLateWait))
	}
}

// typicalRun returns the moving average of an operation's run times.
func (c *Core) expectedRunTime(operation string) time.Duration {
	if typical, ok := c.runTimes[operation]; ok {
		return typical
	}
	return c.limiter.Latency()
}

// observeRun takes the run time of an operation.
func (c *Core) observeRun(operation string, took time.Duration) {
	if typical, ok := c.runTimes[operation]; ok {
		took = typical + time.Duration(runTimeWeight*float64(took-typical))
	}
	c.runTimes[operation] = took
}

// room reports whether a job may join the queue: it is estimated to start while
// that is of use. A full queue makes room by refusing a call of lower rank.
func (c *Core) hasRoom(now clock.Instant, j *job) bool {
	limit := max(1, c.limiter.Limit())
	ahead := c.countAhead(j)
	paced := c.limiter.PaceDelay(now, ahead)
	if ahead == 0 && c.limiter.Running() < limit && paced == 0 {
		return true
	}
	wait := time.Duration(float64(ahead+1)*float64(c.limiter.Latency())/float64(limit)) + paced
	if now.Add(wait) > j.startBy {
		return false
	}
	queueLimit := 0
	if s := c.view.Preset.Service(j.call.Service); s != nil {
		queueLimit = s.QueueLimit
	}
	return len(c.queue) < queueLimit || c.evict(j)
}

// ahead returns the number of queued jobs that go before another.
func (c *Core) countAhead(j *job) int {
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
	c.refuseQueued(last, verdict.ReasonOverloaded)
	return true
}

// sweep refuses queued jobs that it is of no more use to start, or that must
// not run any more.
func (c *Core) refuseExpired(now clock.Instant) {
	if now < c.nextStartBy {
		return
	}
	for _, j := range append(jobHeap(nil), c.queue...) {
		if reason := c.startRefusal(now, j); reason != verdict.ReasonNone {
			c.refuseQueued(j, reason)
		}
	}
	c.nextStartBy = clock.Never
	for _, j := range c.queue {
		c.nextStartBy = min(c.nextStartBy, j.startBy)
	}
}

// expel refuses a queued job.
func (c *Core) refuseQueued(j *job, reason verdict.Reason) {
	c.logRefusal(&j.call, verdict.NotRun, reason)
	c.finish(j, call.Refusal(&j.call, verdict.NotRun, reason))
}
