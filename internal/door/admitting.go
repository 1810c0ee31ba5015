package door

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/verdict"
)

// Submit takes a call from an entry.
func (c *Core) Submit(now clock.Instant, ticket Ticket, request call.Call) {
	once := !request.Idempotent && !request.Recorded && c.recordWindow(request.Service) > 0
	if request.Ranged {
		c.keys.count(request.KeyNumber)
	}
	if once && c.recorded(now, ticket, &request) {
		return
	}
	reason := c.refusal(now, &request)
	if once && request.Resend && !moves(reason) && !c.remembers(now, &request) {
		c.refuse(ticket, &request, verdict.MayHaveRun, verdict.ReasonRecordLost)
		return
	}
	if reason != verdict.ReasonNone {
		c.refuse(ticket, &request, verdict.NotRun, reason)
		return
	}
	if !once {
		c.enqueue(now, ticket, request, nil)
		return
	}
	c.submitOnce(now, ticket, request)
}

// refusal returns why a call must not be admitted, or no reason.
func (c *Core) refusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch {
	case c.stopping:
		return verdict.ReasonStopping
	case now >= c.viewUntil:
		return verdict.ReasonViewStale
	case now >= request.Deadline:
		return verdict.ReasonDeadline
	case request.Ranged && c.unfitForRanges(now, request.Service):
		return verdict.ReasonNoUpstream
	case !request.Sharded && !request.Ranged && c.unfit(request.Service):
		return verdict.ReasonNoUpstream
	case request.Sharded:
		return c.shardRefusal(now, request)
	case request.Ranged:
		return c.rangeRefusal(now, request)
	default:
		return verdict.ReasonNone
	}
}

func (c *Core) shardRefusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch {
	case c.holdings.granted(request.ShardID()) == nil:
		return verdict.ReasonNotOwner
	case now >= c.ownUntil:
		return verdict.ReasonLeaseExpired
	case c.unfit(request.Service) && !c.mayDelegate(request):
		return verdict.ReasonNoUpstream
	default:
		return verdict.ReasonNone
	}
}

// rangeRefusal returns why a call must not be given to the upstream for its key.
func (c *Core) rangeRefusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch until := c.keyring.until(c.view, request.KeyNumber); {
	case until == 0:
		return verdict.ReasonNotOwner
	case now >= until:
		return verdict.ReasonLeaseExpired
	default:
		return verdict.ReasonNone
	}
}

// unfit reports whether the upstream beside the door must get no new work of a
// service.
func (c *Core) unfit(service string) bool {
	return c.upstream.Name == "" || c.leaving || c.upstream.Service != service ||
		c.view.DataCentresOut[c.centre] || c.view.UpstreamsOut[c.upstream.Name]
}

// unfitForRanges reports whether the upstream must get no new calls for keys.
// One that leaves, or whose data centre is taken out, goes on with the keys that
// it holds while they are asked back, for a short time.
func (c *Core) unfitForRanges(now clock.Instant, service string) bool {
	if c.upstream.Name == "" || c.upstream.Service != service {
		return true
	}
	if !c.unfit(service) {
		c.unfitSince = 0
		return false
	}
	if c.unfitSince == 0 {
		c.unfitSince = now
	}
	return now >= c.unfitSince.Add(c.handBack)
}

// mayDelegate reports whether another door may run a call while this one keeps
// its record: only keyed work is bound to its owner's upstream.
func (c *Core) mayDelegate(request *call.Call) bool {
	s := c.view.Preset.Service(request.Service)
	return s != nil && !s.Keyed && c.others && request.Sharded && !request.Idempotent && c.delegated < maxDelegated
}

// recorded answers a request whose id was seen before: with the same answer,
// or by waiting for the run under way. It reports whether it did.
func (c *Core) recorded(now clock.Instant, ticket Ticket, request *call.Call) bool {
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

// remembers reports whether this door would hold the record of a request that
// was sent before: it has owned the request's shard for the whole window.
func (c *Core) remembers(now clock.Instant, request *call.Call) bool {
	h := c.holdings.granted(request.ShardID())
	return h != nil && now < c.ownUntil && now >= h.since.Add(c.recordWindow(request.Service))
}

// moves reports whether a refusal sends the entry to another door, which knows
// the request's record or not.
func moves(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonStopping, verdict.ReasonViewStale, verdict.ReasonNotOwner, verdict.ReasonLeaseExpired, verdict.ReasonNoUpstream:
		return true
	default:
		return false
	}
}

// submitOnce records and admits a non-idempotent call.
func (c *Core) submitOnce(now clock.Instant, ticket Ticket, request call.Call) {
	if c.records.full() {
		c.refuse(ticket, &request, verdict.NotRun, verdict.ReasonOverloaded)
		return
	}
	c.enqueue(now, ticket, request, c.records.add(now, &request, c.recordWindow(request.Service)))
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

// enqueue gives an admitted call to the upstream, to another door or into the
// queue, or refuses it if it could not finish in time.
func (c *Core) enqueue(now clock.Instant, ticket Ticket, request call.Call, r *record) {
	busy := c.unfit(request.Service) || c.limiter.Running() >= c.limiter.Limit()
	away := r != nil && busy && c.mayDelegate(&request)
	if !away && !c.fits(now, &request) {
		if r != nil {
			c.records.forget(r)
		}
		c.refuse(ticket, &request, verdict.NotRun, verdict.ReasonOverloaded)
		return
	}
	j := c.admit(ticket, request, r)
	if away {
		c.delegate(j)
		return
	}
	c.join(now, j)
	c.fill(now)
}

// fits reports whether a call may join the queue.
func (c *Core) fits(now clock.Instant, request *call.Call) bool {
	if request.Method == "" {
		return c.inTime(now, request)
	}
	candidate := &job{call: *request, timer: request.Deadline, run: c.nextRun + 1}
	c.order(now, candidate)
	return c.room(now, candidate)
}

// join puts a job into the queue.
func (c *Core) join(now clock.Instant, j *job) {
	c.order(now, j)
	c.expireAt = min(c.expireAt, j.expires)
	c.queue.add(j)
}

// admit makes a job of a call.
func (c *Core) admit(ticket Ticket, request call.Call, r *record) *job {
	c.nextRun++
	j := &job{run: c.nextRun, call: request, tickets: []Ticket{ticket}, record: r, timer: request.Deadline, index: noIndex}
	if r != nil {
		r.job = j
	}
	if request.Sharded {
		id := request.ShardID()
		j.epoch = c.holdings.granted(id).shard.Epoch
		c.holdings.begin(id)
	}
	c.jobs[j.run] = j
	c.tickets[ticket] = j
	return j
}

// inTime estimates whether a call that joins the queue can finish in time.
func (c *Core) inTime(now clock.Instant, request *call.Call) bool {
	limit := max(1, c.limiter.Limit())
	paced := c.limiter.PaceDelay(now, len(c.queue))
	if c.limiter.Running() < limit && len(c.queue) == 0 && paced == 0 {
		return true
	}
	bound := 0
	if s := c.view.Preset.Service(request.Service); s != nil {
		bound = s.QueueLimit
	}
	if len(c.queue) >= bound {
		return false
	}
	rounds := time.Duration(len(c.queue)/limit + 1)
	return now.Add(rounds*c.limiter.Latency()+paced) < request.Deadline
}

func (c *Core) refuse(ticket Ticket, request *call.Call, v verdict.Verdict, reason verdict.Reason) {
	c.decideRefusal(request, v, reason)
	c.reply(ticket, call.Refusal(request, v, reason))
}

// decideRefusal logs a refusal with what decided it.
func (c *Core) decideRefusal(request *call.Call, v verdict.Verdict, reason verdict.Reason) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.RequestRefused,
		event.F("request", request.RequestID), event.F("service", request.Service), event.F("operation", request.Operation),
		event.F("verdict", v.String()), event.F("reason", string(reason)), event.F("shard", request.Shard),
		event.F("key", request.KeyNumber), event.F("view", uint64(c.view.Version)), event.F("running", c.limiter.Running()),
		event.F("queued", len(c.queue)), event.F("limit", c.limiter.Limit()), event.F("typical", c.typicalRun(request.Operation))))
}
