package executor

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

// Submit takes a call from a gateway. A non-idempotent call is answered from
// its deduplication record if there is one, and recorded before it runs
// otherwise. A resend whose record this executor may never have had is answered
// may-have-run, unless its refusal leads the gateway to another executor.
func (c *Core) Submit(now clock.Instant, ticket Ticket, request call.Call) {
	c.steppedAt = now
	deduplicate := !request.Idempotent && !request.Recorded && c.recordWindow(request.Service) > 0
	if request.Ranged && !(request.Resend && c.earlyReport.enabled) {
		c.keyMeter.count(request.KeyNumber)
	}
	if deduplicate && c.answerDuplicate(now, ticket, &request) {
		return
	}
	c.reportEarly(now)
	reason := c.refusal(now, &request)
	if deduplicate && request.Resend && !retriedElsewhere(reason) && !c.ownedForWindow(now, &request) {
		c.refuse(ticket, &request, verdict.MayHaveRun, verdict.ReasonRecordLost)
		return
	}
	if reason != verdict.ReasonNone {
		c.refuse(ticket, &request, verdict.NotRun, reason)
		return
	}
	if !deduplicate {
		c.dispatch(now, ticket, request, nil)
		return
	}
	c.submitRecorded(now, ticket, request)
}

// mayDelegate reports whether another executor may run a call while this one
// keeps its record. A keyed call can't be delegated: it must run at the
// upstream of its shard's owner.
func (c *Core) mayDelegate(request *call.Call) bool {
	s := c.view.Preset.Service(request.Service)
	return s != nil && !s.Keyed && c.peerAvailable && request.Sharded && !request.Idempotent && c.delegated < maxDelegated
}

// answerDuplicate answers a call whose request ID is on record: with the
// recorded answer, or with that of the run in progress once it ends. A different
// request under the same ID gets may-have-run, as does one whose answer was
// dropped or is still outstanding after its deadline. It reports whether the
// request was on record.
func (c *Core) answerDuplicate(now clock.Instant, ticket Ticket, request *call.Call) bool {
	c.records.expire(now)
	r := c.records.find(keyOf(request))
	if r == nil {
		return false
	}
	answer := call.Refusal(request, verdict.MayHaveRun, verdict.ReasonDuplicate)
	switch {
	case r.fingerprint != fingerprint(request):
	case r.job != nil && !r.job.timedOut:
		r.job.tickets = append(r.job.tickets, ticket)
		c.tickets[ticket] = r.job
		return true
	case r.answer != nil:
		answer = *r.answer
	}
	c.reply(ticket, answer)
	return true
}

// ownedForWindow reports whether this executor has owned the request's shard
// for the whole record window and still does. If so, a missing record proves
// that the request did not run within the window.
func (c *Core) ownedForWindow(now clock.Instant, request *call.Call) bool {
	owned := c.shards.granted(request.ShardID())
	return owned != nil && now < c.ownershipExpiry && now >= owned.since.Add(c.recordWindow(request.Service))
}

// submitRecorded admits a non-idempotent call. The record is written before the
// call is dispatched, so that the request runs at most once.
func (c *Core) submitRecorded(now clock.Instant, ticket Ticket, request call.Call) {
	if c.records.full() {
		c.refuse(ticket, &request, verdict.NotRun, verdict.ReasonOverloaded)
		return
	}
	c.dispatch(now, ticket, request, c.records.add(now, &request, c.recordWindow(request.Service)))
}

func (c *Core) recordWindow(service string) time.Duration {
	if c.view.Preset == nil {
		return 0
	}
	if s := c.view.Preset.Service(service); s != nil {
		return s.RecordWindow
	}
	return 0
}

// dispatch starts a call at the upstream, queues it or delegates it to another
// executor. It refuses a call that finds no room in the queue or is estimated to
// start or finish too late.
func (c *Core) dispatch(now clock.Instant, ticket Ticket, request call.Call, r *record) {
	busy := c.unavailable(request.Service) || c.limiter.Running() >= c.limiter.Limit()
	delegate := r != nil && busy && c.mayDelegate(&request)
	var order queueOrder
	if !delegate {
		var cause RefusalCause
		if order, cause = c.canQueue(now, &request); cause != CauseNone {
			if r != nil {
				c.records.forget(r)
			}
			c.refuseOverloaded(ticket, &request, cause)
			return
		}
	}
	j := c.admit(ticket, request, r)
	if delegate {
		c.delegate(j)
		return
	}
	c.enqueue(now, j, order)
	c.startQueued(now)
}

// canQueue returns the order of a call that can start now, or has room in the queue and
// would leave it in time, or else why not. It may evict a queued job to make room.
func (c *Core) canQueue(now clock.Instant, request *call.Call) (queueOrder, RefusalCause) {
	order := c.orderOf(now, request)
	switch {
	case c.refusesParent(now, request):
		return order, CauseParent
	case request.Method == "" && c.finishesInTime(now, request):
		return order, CauseNone
	case request.Method == "":
		return order, CauseWait
	case c.load.timed():
		return c.orderInTime(now, request)
	default:
		candidate := &job{call: *request, timer: request.Deadline, run: c.nextRun + 1, rank: order.rank, startBy: order.startBy}
		return order, c.hasRoom(now, candidate)
	}
}

func (c *Core) enqueue(now clock.Instant, j *job, order queueOrder) {
	j.work = c.expectedRunTime(j.call.Operation)
	switch {
	case order.late() && j.share != nil:
		j.share.jobs--
		j.share = nil
	case c.load.ShareFloor > 0 && j.share == nil && j.call.Method != "" && !order.late():
		j.share = c.shareOf(&j.call)
		j.share.jobs++
	}
	c.insert(j, order)
	if c.load.timed() {
		j.class.arrived(now, j)
		c.refuseDisplaced(now, j)
	}
}

// insert adds a job to the queue.
func (c *Core) insert(j *job, order queueOrder) {
	j.rank, j.startBy = order.rank, min(order.startBy, c.lastStart(&j.call))
	c.nextStartBy = min(c.nextStartBy, j.startBy)
	c.queue.add(j)
}

// admit creates the job of a call and counts the call as in flight for its
// shard.
func (c *Core) admit(ticket Ticket, request call.Call, r *record) *job {
	c.nextRun++
	j := &job{run: c.nextRun, call: request, tickets: []Ticket{ticket}, record: r, timer: request.Deadline, index: noIndex}
	if r != nil {
		r.job = j
	}
	if request.Sharded {
		id := request.ShardID()
		j.epoch = c.shards.granted(id).shard.Epoch
		c.shards.beginCall(id)
	}
	c.jobs[j.run] = j
	c.tickets[ticket] = j
	return j
}

// finishesInTime estimates whether a call that is queued now finishes before
// its deadline.
func (c *Core) finishesInTime(now clock.Instant, request *call.Call) bool {
	limit := max(1, c.limiter.Limit())
	paced := c.limiter.PaceDelay(now, c.queue.length)
	if c.limiter.Running() < limit && c.queue.length == 0 && paced == 0 {
		return true
	}
	if c.queue.length >= c.queueLimit(request.Service) {
		return false
	}
	rounds := time.Duration(c.queue.length/limit + 1)
	return now.Add(rounds*c.limiter.Latency()+paced) < request.Deadline
}
