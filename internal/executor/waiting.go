package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

const (
	// maxQueued bounds the queue if it is bounded by time: even short calls, of some 94 ms,
	// then take 18 slots 2.7 s, longer than their objectives.
	maxQueued = 512
	// estimateMargin is the factor by which an estimated wait must exceed the remaining time
	// of a queued call before it is refused ahead of that time. Estimates vary by some 20%
	// with the spread of run times.
	estimateMargin = 1.25
)

// SetLoad sets which parts of the queueing under contention are used.
func (c *Core) SetLoad(s LoadSettings) { c.load = s }

// freeingWork returns the work after which a slot is free for a call, without queued calls.
// A slot becomes free each time one of the runs has ended: those above the limit first, then
// one for the call.
func (c *Core) freeingWork(now clock.Instant) time.Duration {
	running, limit := c.limiter.Running(), max(1, c.limiter.Limit())
	if running < limit {
		return 0
	}
	return time.Duration(running-limit+1)*c.running.mean() + c.running.excess(now)
}

// wait estimates how long a call without special rank that arrives now waits for a slot.
// Late calls go after it.
func (c *Core) wait(now clock.Instant) time.Duration {
	limit := max(1, c.limiter.Limit())
	if c.queue.length == 0 && c.limiter.Running() < limit {
		return max(0, c.limiter.NextPacedStart(now).Sub(now))
	}
	work := c.queue.work - c.queue.lateWork + c.freeingWork(now)
	return max(work/time.Duration(limit), c.limiter.PaceDelay(now, c.queue.length))
}

// nestedWait estimates how long a nested call that arrives now waits for a slot. It goes after
// the nested calls that are queued, except for those that have had more than their share.
func (c *Core) nestedWait(now clock.Instant) time.Duration {
	limit := max(1, c.limiter.Limit())
	if c.queue.length == 0 && c.limiter.Running() < limit {
		return max(0, c.limiter.NextPacedStart(now).Sub(now))
	}
	work, jobs := c.freeingWork(now), 0
	for _, class := range c.queue.classes {
		if class.key.nested && !class.demoted {
			work, jobs = work+class.work, jobs+len(class.jobs)
		}
	}
	return max(work/time.Duration(limit), c.limiter.PaceDelay(now, jobs))
}

// orderInTime returns the order of a call whose wait is estimated from run times, or why it
// must not wait. A call that arrives too late for its objective may wait as a late one; one
// that arrives in time and finds no room may not, so that its gateway can try elsewhere. It may
// evict a queued call to make room.
func (c *Core) orderInTime(now clock.Instant, request *call.Call) (queueOrder, RefusalCause) {
	j := job{timer: request.Deadline, run: c.nextRun + 1}
	j.call.Operation, j.call.Nested = request.Operation, request.Nested
	order := c.orderOf(now, request)
	if c.load.QueueByTime && order.late() {
		order = c.lateOrder(request)
	}
	if c.load.ShareFloor > 0 && !order.late() {
		j.share = c.shareOf(request)
		c.shares.ask(now, j.share, c.expectedRunTime(request.Operation))
		c.demoteNested()
	}
	j.rank = order.rank
	if !c.startsInTime(now, &j, c.joinBy(now, request, order).startBy) {
		return order, CauseWait
	}
	return order, c.makeRoom(&j, j.share, request.Service)
}

// joinBy returns the order with the time by which a call must be expected to start to join
// the queue. A nested call that has joined may start until its deadline, since refusing one
// wastes the run of its parent. But a long queue of them serves no more, and holds the slots of
// their parents for longer. They join only within the time in which the upstream works off a
// queue that is bounded by count.
func (c *Core) joinBy(now clock.Instant, request *call.Call, order queueOrder) queueOrder {
	if request.Nested {
		covered := time.Duration(c.queueLimit(request.Service)) * c.expectedRunTime(request.Operation) / time.Duration(max(1, c.limiter.Limit()))
		order.startBy = min(order.startBy, now.Add(covered))
	}
	return order
}

// lateOrder returns the order of a call that will miss its objective but may still meet its
// deadline.
func (c *Core) lateOrder(request *call.Call) queueOrder {
	return queueOrder{rank: rankLate + request.Priority, startBy: request.Deadline.Add(-c.neededTime(request.Operation))}
}

// startsInTime reports whether a job is expected to start by a time.
func (c *Core) startsInTime(now clock.Instant, j *job, startBy clock.Instant) bool {
	wait := c.jobWait(now, j)
	return wait == 0 || now.Add(wait) <= startBy
}

// jobWait estimates how long a job waits for a slot. Jobs that arrive later and go before it
// are counted: a late job gets only what those leave that can meet their objective.
func (c *Core) jobWait(now clock.Instant, j *job) time.Duration {
	limit := max(1, c.limiter.Limit())
	work, jobs := c.queue.ahead(j)
	paced := c.limiter.PaceDelay(now, jobs)
	if jobs == 0 && c.limiter.Running() < limit {
		return paced
	}
	freeing := c.freeingWork(now)
	wait := c.queue.drainTime(now, j, work+freeing, c.slotsBeside(j, float64(limit)))
	if c.load.ShareFloor > 0 && j.rank < rankLate && j.share != nil {
		wait = c.sharedWait(j, wait, freeing/time.Duration(limit), float64(limit))
	}
	return max(wait, paced)
}

// makeRoom returns why a job finds no room in the queue. If the queue is full, the last job
// is evicted in favour of one that goes before it, or of one of an operation that is below
// its floor. Jobs of operations below their floor stay.
func (c *Core) makeRoom(j *job, share *operationShare, service string) RefusalCause {
	bound := maxQueued
	if !c.load.QueueByTime {
		bound = c.queueLimit(service)
	}
	if c.queue.length < bound {
		return CauseNone
	}
	class := c.queue.lastClass(func(class *queueClass) bool {
		return class.share == share || class.late() || !c.belowFloor(class.share)
	})
	if class == nil {
		return CauseRoom
	}
	switch last := class.last(); {
	case class.precedence() > c.queue.precedenceOf(j), class.precedence() == c.queue.precedenceOf(j) && before(j, last):
		c.refuseQueued(last, verdict.ReasonOverloaded, CauseRoom)
	case j.rank < rankLate && class.share != share && c.belowFloor(share):
		c.refuseQueued(last, verdict.ReasonOverloaded, CauseShare)
	default:
		return CauseRoom
	}
	return CauseNone
}

// refuseDisplaced refuses the last queued job that can meet its objective by its order, if
// the arrival of jobs that go before it has made that impossible. A refusal now lets its
// caller try elsewhere earlier than one at the end of its time.
func (c *Core) refuseDisplaced(now clock.Instant, by *job) {
	var class *queueClass
	for _, other := range c.queue.classes {
		rank := other.key.rank
		if other == by.class || rank < by.rank || rank >= rankLate {
			continue
		}
		if class == nil || rank > class.key.rank || rank == class.key.rank && other.timeout > class.timeout {
			class = other
		}
	}
	if class == nil {
		return
	}
	c.refuseIfTooLate(now, class.last())
}

// refuseBeyondLimit refuses the last queued jobs that can meet their objective by their order,
// if a lower limit has made that impossible.
func (c *Core) refuseBeyondLimit(now clock.Instant) {
	onTime := func(class *queueClass) bool { return !class.late() }
	for class := c.queue.lastClass(onTime); class != nil; class = c.queue.lastClass(onTime) {
		if !c.refuseIfTooLate(now, class.last()) {
			return
		}
	}
}

// refuseIfTooLate refuses a queued job if its estimated wait is far above its remaining time.
// It reports whether it did.
func (c *Core) refuseIfTooLate(now clock.Instant, j *job) bool {
	wait := c.jobWait(now, j)
	if now.Add(time.Duration(float64(wait)/estimateMargin)) <= j.startBy {
		return false
	}
	c.refuseQueued(j, verdict.ReasonOverloaded, CauseWait)
	return true
}
