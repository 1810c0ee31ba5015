package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

// shareOf returns the account of a call's operation.
func (c *Core) shareOf(request *call.Call) *operationShare {
	return c.shares.share(shareKey{operation: request.Operation, nested: request.Nested})
}

// belowFloor reports whether an operation was given less than the floor.
func (c *Core) belowFloor(share *operationShare) bool {
	return share != nil && c.shares.below(share, c.load.ShareFloor)
}

// nestedAboveFloor reports whether nested calls together have had more than the floor's part
// of the given slot time. With less, they delay direct calls little.
func (c *Core) nestedAboveFloor() bool {
	return c.shares.givenNested > c.load.ShareFloor*c.shares.given
}

// demoteNested updates which nested calls have had more than their share. They go before
// others up to their whole share of the demand, and not just up to the floor, since refusing
// one wastes the run of its parent. Above it they go after others of their own priority, if
// nested calls take much of the slot time.
func (c *Core) demoteNested() {
	above := c.nestedAboveFloor()
	for _, class := range c.queue.known {
		if class.key.nested && class.share != nil {
			class.demoted = above && class.share.given*c.shares.asked > class.share.asked*c.shares.given
		}
	}
}

// nextJob returns the queued job that gets the next slot: the first of the operation that is
// furthest below its floor, or the first of all. Late calls have no floor.
func (c *Core) nextJob() *job {
	if c.load.ShareFloor == 0 {
		return c.queue.first()
	}
	c.demoteNested()
	var furthest *queueClass
	for _, class := range c.queue.classes {
		if class.late() || !c.belowFloor(class.share) {
			continue
		}
		if furthest == nil || class.share.given*furthest.share.asked < furthest.share.given*class.share.asked {
			furthest = class
		}
	}
	if furthest == nil {
		return c.queue.first()
	}
	return furthest.jobs[0]
}

// slotsBeside returns the slots less those that go to the floors of queued operations that
// a job would otherwise go before.
func (c *Core) slotsBeside(j *job, slots float64) float64 {
	if c.load.ShareFloor == 0 {
		return slots
	}
	precedence, part := c.queue.precedenceOf(j), 0.0
	for _, class := range c.queue.classes {
		if class.share != nil && class.share != j.share && !class.late() && class.precedence() > precedence {
			part += c.shares.demand(class.share)
		}
	}
	return slots * (1 - c.load.ShareFloor*part)
}

// sharedWait estimates how long a job waits for a slot, from its wait by rank and the time
// after which a slot is free. Its operation gets its floor at least. Nested calls get their
// whole share, and no more while others wait and nested calls take much of the slot time.
func (c *Core) sharedWait(j *job, byRank, free time.Duration, slots float64) time.Duration {
	if !j.call.Nested {
		return min(byRank, free+c.partWait(j, c.load.ShareFloor*slots))
	}
	byShare := free + c.partWait(j, slots)
	if !c.nestedAboveFloor() {
		return min(byRank, byShare)
	}
	for _, class := range c.queue.classes {
		if class.share != j.share && !class.late() {
			return byShare
		}
	}
	return min(byRank, byShare)
}

// partWait estimates how long a job waits if its operation gets its share of the given slots.
func (c *Core) partWait(j *job, slots float64) time.Duration {
	part := c.shares.demand(j.share) * slots
	if part < minSlots {
		return never
	}
	var ahead time.Duration
	if class := c.queue.byKey[keyOfClass(j)]; class != nil && len(class.jobs) > 0 {
		ahead = class.workBefore(j)
	}
	if !c.belowFloor(j.share) {
		ahead += c.expectedRunTime(j.call.Operation)
	}
	return time.Duration(min(float64(never), float64(ahead)/part))
}

// endRun removes a run from what is running, and accounts for the slot time that it took.
func (c *Core) endRun(now clock.Instant, j *job, took time.Duration) {
	c.running.end(j.started, j.work)
	if j.share != nil {
		c.shares.give(now, j.share, took-j.work)
	}
}

// OperationLoads returns the load of each operation, in no order; none without a floor.
func (c *Core) OperationLoads() []OperationLoad {
	loads := make([]OperationLoad, 0, len(c.shares.shares))
	for key, share := range c.shares.shares {
		load := OperationLoad{Operation: key.operation, Nested: key.nested, Asked: c.shares.demand(share)}
		if c.shares.given > 0 {
			load.Given = share.given / c.shares.given
		}
		for _, class := range c.queue.classes {
			if class.share == share {
				load.Queued += len(class.jobs)
			}
		}
		loads = append(loads, load)
	}
	return loads
}
