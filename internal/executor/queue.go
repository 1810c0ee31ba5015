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
	// timedRunTimeShare takes the place of runTimeShare for a queue that is bounded by time.
	// With 1.0, 7% of the calls of 94 ms ended late at 1.1 of the slots, with 1.2 2%, as
	// many as take six times the mean. With 1.4, fewer calls were served in time.
	timedRunTimeShare = 1.2
	// runTimeWeight is the weight of a new sample in an operation's mean run
	// time.
	runTimeWeight = 0.1
)

// orderOf returns a call's rank and the latest time at which it may start. Calls by
// operation name (without an HTTP method) keep rank 0 and are ordered by deadline.
func (c *Core) orderOf(now clock.Instant, request *call.Call) queueOrder {
	if request.Method == "" {
		return queueOrder{startBy: request.Deadline}
	}
	needs := c.neededTime(request.Operation)
	startBy := request.Deadline.Add(-needs)
	switch start := request.Objective.Add(-needs); {
	case request.Nested:
		return queueOrder{rank: rankNested, startBy: startBy}
	case request.Objective == 0:
		return queueOrder{rank: 1 + request.Priority, startBy: startBy}
	case start > now:
		return queueOrder{rank: 1 + request.Priority, startBy: min(startBy, start)}
	default:
		return queueOrder{rank: rankLate + request.Priority, startBy: min(startBy, now.Add(maxLateWait))}
	}
}

// neededTime returns the time that a call of an operation must have left when it starts. A
// queue that is bounded by time is as long as it may be while there is too much load, so that
// most calls start at the last moment. With less than timedRunTimeShare left, many end late.
func (c *Core) neededTime(operation string) time.Duration {
	if c.load.QueueByTime {
		return time.Duration(timedRunTimeShare * float64(c.expectedRunTime(operation)))
	}
	return time.Duration(runTimeShare * float64(c.expectedRunTime(operation)))
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

// hasRoom returns why a job may not join the queue, which it may if it is estimated to
// start by its startBy. If the queue is full, the last job is evicted in favour of one that
// goes before it.
func (c *Core) hasRoom(now clock.Instant, j *job) RefusalCause {
	limit := max(1, c.limiter.Limit())
	ahead := c.countAhead(j)
	paced := c.limiter.PaceDelay(now, ahead)
	if ahead == 0 && c.limiter.Running() < limit && paced == 0 {
		return CauseNone
	}
	wait := time.Duration(float64(ahead+1)*float64(c.limiter.Latency())/float64(limit)) + paced
	if now.Add(wait) > j.startBy {
		return CauseWait
	}
	if c.queue.length < c.queueLimit(j.call.Service) || c.evict(j) {
		return CauseNone
	}
	return CauseRoom
}

// queueLimit returns the number of calls of a service that may be queued.
func (c *Core) queueLimit(service string) int {
	if s := c.view.Preset.Service(service); s != nil {
		return s.QueueLimit
	}
	return 0
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
	c.refuseQueued(last, verdict.ReasonOverloaded, CauseRoom)
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
		reason, cause := c.startRefusal(now, j), CauseNone
		if reason == verdict.ReasonOverloaded {
			cause = CauseWait
		}
		c.refuseQueued(j, reason, cause)
	}
	clear(c.expired)
	c.nextStartBy = c.queue.earliestStartBy()
}

// refuseQueued ends a queued job with a not-run verdict and logs it.
func (c *Core) refuseQueued(j *job, reason verdict.Reason, cause RefusalCause) {
	c.logRefusal(&j.call, verdict.NotRun, reason, cause)
	c.finish(j, call.Refusal(&j.call, verdict.NotRun, reason))
}
