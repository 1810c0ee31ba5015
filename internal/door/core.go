// Package door decides what the one way to an upstream admits: ownership,
// leases, the admission limit, the queue and the records of non-idempotent
// requests. It is a pure state machine; time is an argument.
package door

import (
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Core is one router's door. It is owned by one duty.
type Core struct {
	self    fleet.RouterID
	session fleet.Session
	centre  fleet.DataCentre
	view    *fleet.View

	ownUntil  clock.Instant
	viewUntil clock.Instant
	upstream  fleet.Upstream
	leaving   bool
	stopping  bool

	holdings map[fleet.ShardID]*holding
	limiter  *admission.Limiter
	queue    []*job
	jobs     map[uint64]*job
	tickets  map[Ticket]*job
	records  *recordBook
	nextRun  uint64
	output   Output
}

// New returns a door without an upstream, a lease or a view.
func New(self fleet.RouterID, centre fleet.DataCentre) *Core {
	return &Core{
		self: self, centre: centre, view: fleet.NewView(), holdings: map[fleet.ShardID]*holding{},
		limiter: admission.NewLimiter(), jobs: map[uint64]*job{}, tickets: map[Ticket]*job{}, records: newRecordBook(),
	}
}

// Take returns what the steps since the last Take ask for.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// Idle reports whether no call is queued or running.
func (c *Core) Idle() bool { return len(c.jobs) == 0 }

// Held returns the number of shards that this door owns and has not released.
func (c *Core) Held() int {
	held := 0
	for _, h := range c.holdings {
		if !h.released {
			held++
		}
	}
	return held
}

// Deadline returns when Tick must be called next.
func (c *Core) Deadline(now clock.Instant) clock.Instant {
	if len(c.jobs) == 0 {
		return clock.Never
	}
	deadline := clock.Never
	for _, j := range c.jobs {
		if len(j.tickets) > 0 || !j.running {
			deadline = min(deadline, c.jobDeadline(j))
		}
	}
	return max(deadline, now.Add(time.Millisecond))
}

// SetLease sets the session and the instants at which its leases end.
func (c *Core) SetLease(now clock.Instant, session fleet.Session, ownUntil, viewUntil clock.Instant) {
	if session != c.session {
		c.session = session
		clear(c.holdings)
		c.adoptShards(now)
	}
	c.ownUntil, c.viewUntil = ownUntil, viewUntil
}

// SetView applies a change of the view and reports whether it fitted.
func (c *Core) SetView(now clock.Instant, change *fleet.Change) bool {
	if !c.view.Apply(change) {
		return false
	}
	c.adoptShards(now)
	c.releaseIdle()
	return true
}

// adoptShards makes the holdings follow the view.
func (c *Core) adoptShards(now clock.Instant) {
	for shard := range c.view.Shards.All() {
		id := shard.ID
		h := c.holdings[id]
		switch {
		case c.session == 0 || !shard.OwnedBy(c.session):
			delete(c.holdings, id)
		case h == nil || h.shard.Epoch != shard.Epoch:
			c.holdings[id] = &holding{shard: shard, since: now}
		default:
			h.shard = shard
		}
	}
}

// releaseIdle gives back shards asked back on which nothing runs any more.
func (c *Core) releaseIdle() {
	for _, h := range c.holdings {
		if h.shard.Phase == fleet.ShardRevoking && h.jobs == 0 && !h.released {
			h.released = true
			c.output.Releases = append(c.output.Releases, release(h.shard))
		}
	}
}

// Announce takes what the upstream beside the door says of itself.
func (c *Core) Announce(now clock.Instant, u fleet.Upstream) {
	c.upstream = u
	c.leaving = false
	if c.limiter.Announce(u) {
		c.decideLimit("cold")
	}
	c.fill(now)
}

// Leave stops new work because the upstream leaves or is lost.
func (c *Core) Leave(now clock.Instant) {
	c.leaving = true
	c.refuseQueue(now, verdict.ReasonNoUpstream)
}

// Stop stops new work because the router stops.
func (c *Core) Stop() { c.stopping = true }

// Submit takes a call from an entry.
func (c *Core) Submit(now clock.Instant, ticket Ticket, request call.Call) {
	if reason := c.refusal(now, &request); reason != verdict.ReasonNone {
		c.refuse(ticket, &request, verdict.NotRun, reason)
		return
	}
	if request.Idempotent || request.Recorded {
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
	case c.upstream.Name == "" || c.leaving || c.upstream.Service != request.Service:
		return verdict.ReasonNoUpstream
	case now >= request.Deadline:
		return verdict.ReasonDeadline
	case request.Sharded:
		return c.shardRefusal(now, request)
	case c.view.DataCentresOut[c.centre] || c.view.UpstreamsOut[c.upstream.Name]:
		return verdict.ReasonNoUpstream
	default:
		return verdict.ReasonNone
	}
}

func (c *Core) shardRefusal(now clock.Instant, request *call.Call) verdict.Reason {
	h := c.holdings[request.ShardID()]
	switch {
	case h == nil || h.shard.Phase != fleet.ShardGranted:
		return verdict.ReasonNotOwner
	case now >= c.ownUntil:
		return verdict.ReasonLeaseExpired
	default:
		return verdict.ReasonNone
	}
}

// submitOnce admits a non-idempotent call unless its id was seen before or
// may have been seen by a door whose records are gone.
func (c *Core) submitOnce(now clock.Instant, ticket Ticket, request call.Call) {
	c.records.expire(now)
	key := keyOf(&request)
	if r := c.records.find(key); r != nil {
		c.repeat(ticket, &request, r)
		return
	}
	window := c.recordWindow(request.Service)
	if h := c.holdings[request.ShardID()]; request.Resend && now < h.since.Add(window) {
		c.refuse(ticket, &request, verdict.MayHaveRun, verdict.ReasonRecordLost)
		return
	}
	if c.records.full() {
		c.refuse(ticket, &request, verdict.NotRun, verdict.ReasonOverloaded)
		return
	}
	c.enqueue(now, ticket, request, c.records.add(now, key, nil, window))
}

func (c *Core) recordWindow(service string) time.Duration {
	if s := c.view.Preset.Service(service); s != nil {
		return s.RecordWindow
	}
	return 0
}

// repeat answers a request whose record exists: with the same answer, or by
// waiting for the run under way.
func (c *Core) repeat(ticket Ticket, request *call.Call, r *record) {
	if r.job != nil {
		r.job.tickets = append(r.job.tickets, ticket)
		c.tickets[ticket] = r.job
		return
	}
	answer := call.Refusal(request, verdict.MayHaveRun, verdict.ReasonDuplicate)
	if r.answer != nil {
		answer = *r.answer
		answer.Number = request.Number
	}
	c.reply(ticket, answer)
}

// enqueue puts an admitted call in the queue, or refuses it if it could not
// finish in time.
func (c *Core) enqueue(now clock.Instant, ticket Ticket, request call.Call, r *record) {
	if !c.inTime(now, &request) {
		if r != nil {
			c.records.forget(r)
		}
		c.refuse(ticket, &request, verdict.NotRun, verdict.ReasonOverloaded)
		return
	}
	c.nextRun++
	j := &job{run: c.nextRun, call: request, tickets: []Ticket{ticket}, record: r}
	if r != nil {
		r.job = j
	}
	if h := c.holdings[request.ShardID()]; request.Sharded {
		h.jobs++
		j.epoch = h.shard.Epoch
	}
	c.jobs[j.run] = j
	c.tickets[ticket] = j
	c.queue = append(c.queue, j)
	c.fill(now)
}

// inTime estimates whether a call that joins the queue can finish in time.
func (c *Core) inTime(now clock.Instant, request *call.Call) bool {
	limit := max(1, c.limiter.Limit())
	if c.limiter.Running() < limit && len(c.queue) == 0 {
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
	return now.Add(rounds*c.limiter.Latency()) < request.Deadline
}

// fill hands queued calls to the upstream as long as the limit allows. Calls
// that can no longer run are refused.
func (c *Core) fill(now clock.Instant) {
	for len(c.queue) > 0 {
		j := c.queue[0]
		if reason := c.stale(now, j); reason != verdict.ReasonNone {
			c.queue = c.queue[1:]
			c.end(j, call.Refusal(&j.call, verdict.NotRun, reason))
			continue
		}
		if c.leaving || !c.limiter.Start() {
			return
		}
		c.queue = c.queue[1:]
		c.start(now, j)
	}
}

// stale returns why a queued call must not run any more, or no reason.
func (c *Core) stale(now clock.Instant, j *job) verdict.Reason {
	if len(j.tickets) == 0 {
		return verdict.ReasonCancelled
	}
	if now >= j.call.Deadline {
		return verdict.ReasonDeadline
	}
	if !j.call.Sharded {
		return verdict.ReasonNone
	}
	h := c.holdings[j.call.ShardID()]
	if h == nil || h.shard.Epoch != j.epoch {
		return verdict.ReasonNotOwner
	}
	if now >= c.ownUntil {
		return verdict.ReasonLeaseExpired
	}
	return verdict.ReasonNone
}

func (c *Core) start(now clock.Instant, j *job) {
	j.running = true
	j.started = now
	run := Run{ID: j.run, Upstream: c.upstream, Call: j.call, Epoch: j.epoch, Deadline: c.jobDeadline(j), Fence: j.call.Deadline}
	if j.call.Sharded {
		run.Fence = min(run.Fence, c.ownUntil)
	}
	c.output.Runs = append(c.output.Runs, run)
}

// jobDeadline is when a run must end: keyed work must not outlast the lease.
func (c *Core) jobDeadline(j *job) clock.Instant {
	if s := c.view.Preset.Service(j.call.Service); j.call.Sharded && s != nil && s.Keyed {
		return min(j.call.Deadline, c.ownUntil)
	}
	return j.call.Deadline
}

// Complete takes the outcome of a run.
func (c *Core) Complete(now clock.Instant, outcome Outcome) {
	j, ok := c.jobs[outcome.Run]
	if !ok || !j.running {
		return
	}
	if c.limiter.Finish(now, outcome.Health, now.Sub(j.started)) {
		c.decideLimit("completion")
	}
	answer := outcome.Answer
	answer.RequestID = j.call.RequestID
	answer.Upstream = c.upstream.Name
	answer.Epoch = j.epoch
	c.end(j, answer)
	c.fill(now)
	c.releaseIdle()
}

// end answers everybody who waits for a job and settles its record.
func (c *Core) end(j *job, answer call.Answer) {
	for _, ticket := range j.tickets {
		delete(c.tickets, ticket)
		c.reply(ticket, answer)
	}
	delete(c.jobs, j.run)
	if h := c.holdings[j.call.ShardID()]; j.call.Sharded && h != nil && h.shard.Epoch == j.epoch {
		h.jobs--
	}
	if j.record == nil {
		return
	}
	j.record.job = nil
	if answer.Verdict == verdict.NotRun {
		c.records.forget(j.record)
		return
	}
	j.record.answer = &answer
}

// Cancel drops one caller's interest in a call. A queued idempotent call is
// dropped; one that runs is cancelled at the upstream. Non-idempotent runs go
// on, so that a resend finds their answer.
func (c *Core) Cancel(now clock.Instant, ticket Ticket) {
	j, ok := c.tickets[ticket]
	if !ok {
		return
	}
	delete(c.tickets, ticket)
	for i, other := range j.tickets {
		if other == ticket {
			j.tickets = append(j.tickets[:i], j.tickets[i+1:]...)
			break
		}
	}
	if len(j.tickets) > 0 || j.record != nil || !j.running {
		return
	}
	c.output.Aborts = append(c.output.Aborts, Abort{Run: j.run, Upstream: c.upstream, RequestID: j.call.RequestID})
}

// CancelLink drops the interest of every call that came on a link.
func (c *Core) CancelLink(now clock.Instant, link uint64) {
	for ticket := range c.tickets {
		if ticket.Link == link {
			c.Cancel(now, ticket)
		}
	}
}

// Tick answers calls whose deadline has passed.
func (c *Core) Tick(now clock.Instant) {
	c.fill(now)
	for _, j := range c.jobs {
		if j.running && len(j.tickets) > 0 && now >= c.jobDeadline(j) {
			c.timeOut(j)
		}
	}
}

// timeOut tells the callers of a run that its outcome is unknown.
func (c *Core) timeOut(j *job) {
	for _, ticket := range j.tickets {
		delete(c.tickets, ticket)
		c.reply(ticket, call.Refusal(&j.call, verdict.MayHaveRun, verdict.ReasonDeadline))
	}
	j.tickets = nil
	c.output.Aborts = append(c.output.Aborts, Abort{Run: j.run, Upstream: c.upstream, RequestID: j.call.RequestID})
}

func (c *Core) refuseQueue(now clock.Instant, reason verdict.Reason) {
	queue := c.queue
	c.queue = nil
	for _, j := range queue {
		c.end(j, call.Refusal(&j.call, verdict.NotRun, reason))
	}
	c.releaseIdle()
}

func (c *Core) refuse(ticket Ticket, request *call.Call, v verdict.Verdict, reason verdict.Reason) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.RequestRefused,
		event.F("request", request.RequestID), event.F("service", request.Service), event.F("operation", request.Operation),
		event.F("verdict", v.String()), event.F("reason", string(reason)), event.F("shard", request.Shard)))
	c.reply(ticket, call.Refusal(request, v, reason))
}

// reply addresses an answer to one caller of a call.
func (c *Core) reply(ticket Ticket, answer call.Answer) {
	answer.Number = ticket.Number
	answer.Load = c.Load()
	c.output.Replies = append(c.output.Replies, Reply{Ticket: ticket, Answer: answer})
}

// Load returns the door's present load.
func (c *Core) Load() call.Load {
	return call.Load{InFlight: c.limiter.Running(), Queued: len(c.queue), Limit: c.limiter.Limit(), Latency: c.limiter.Latency()}
}

func (c *Core) decideLimit(cause string) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.LimitChanged,
		event.F("upstream", c.upstream.Name), event.F("limit", c.limiter.Limit()), event.F("cause", cause)))
}
