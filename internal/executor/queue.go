package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

const (
	// rankNested is the rank of calls made by an upstream for another call that
	// it runs. They go first: refusing one wastes the work already done for its
	// parent.
	rankNested = 0
	// rankLate is added to the priority of calls that will miss their objective
	// anyway. It is greater than any priority of a route (100 at most).
	rankLate = 1000
	// maxLateWait is how long a late call waits in the queue. It is shorter
	// than the queue takes to turn over, so that late calls get only slots that
	// no other call needs.
	maxLateWait = 40 * time.Millisecond
	// runTimeShare is the share of its operation's mean run time that a call
	// must have left when it starts. Run times spread widely, and many are
	// shorter than the mean.
	runTimeShare = 0.6
	// runTimeWeight is the weight of a new sample in an operation's mean run
	// time.
	runTimeWeight = 0.1
)

// setQueueOrder sets a job's rank and the latest time at which it may start.
// Calls by operation name (without an HTTP method) keep rank 0 and are ordered
// by deadline.
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

// expectedRunTime returns the moving average of an operation's run times, or
// the upstream's overall latency before the first run.
func (c *Core) expectedRunTime(operation string) time.Duration {
	if mean, ok := c.runTimes[operation]; ok {
		return mean
	}
	return c.limiter.Latency()
}

// observeRun adds a run time to an operation's moving average.
func (c *Core) observeRun(operation string, took time.Duration) {
	if mean, ok := c.runTimes[operation]; ok {
		took = mean + time.Duration(runTimeWeight*float64(took-mean))
	}
	c.runTimes[operation] = took
}

// hasRoom reports whether a job may join the queue, that is if it is estimated
// to start by its startBy. If the queue is full, the last job is evicted in
// favour of one that goes before it.
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
	return c.queue.length < queueLimit || c.evict(j)
}

// countAhead returns the number of queued jobs that go before a job.
func (c *Core) countAhead(j *job) int {
	ahead := 0
	for _, class := range c.queue.classes {
		for _, other := range class.jobs {
			if before(other, j) {
				ahead++
			}
		}
	}
	return ahead
}

// evict refuses the last queued job if it goes after the given one.
func (c *Core) evict(j *job) bool {
	last := j
	for _, class := range c.queue.classes {
		if other := class.last(); before(last, other) {
			last = other
		}
	}
	if last == j {
		return false
	}
	c.refuseQueued(last, verdict.ReasonOverloaded)
	return true
}

// refuseExpired refuses queued jobs that must not start any more, once the
// earliest startBy has passed.
func (c *Core) refuseExpired(now clock.Instant) {
	if now < c.nextStartBy {
		return
	}
	c.expired = c.queue.collect(c.expired[:0], func(j *job) bool { return c.startRefusal(now, j) != verdict.ReasonNone })
	for _, j := range c.expired {
		c.refuseQueued(j, c.startRefusal(now, j))
	}
	clear(c.expired)
	c.nextStartBy = c.queue.earliestStartBy()
}

// refuseQueued ends a queued job with a not-run verdict and logs it.
func (c *Core) refuseQueued(j *job, reason verdict.Reason) {
	c.logRefusal(&j.call, verdict.NotRun, reason)
	c.finish(j, call.Refusal(&j.call, verdict.NotRun, reason))
}
