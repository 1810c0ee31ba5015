// Package executor implements the executor, the half of a router through which
// alone the upstream beside it gets work. It checks ownership and leases,
// limits concurrency, queues calls by priority and deadline, keeps the
// deduplication records of non-idempotent requests, and tells the upstream
// which key ranges it holds. It is a pure state machine; time is an argument.
package executor

import (
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const (
	// maxRevocationGrace is how long an upstream that is leaving or out of
	// service goes on serving its key ranges. It covers about one heartbeat,
	// whose answer revokes them.
	maxRevocationGrace = 1200 * time.Millisecond
	// revocationShareOfDrain limits that time to a share of the time for which
	// a leaving upstream still accepts requests.
	revocationShareOfDrain = 0.6
	maxDelegated           = 1024        // calls at other executors at once
	delegationGrace        = time.Second // how long the outcome of a delegated call is awaited beyond its deadline
)

// Core is the state of one router's executor. It is owned by one duty.
type Core struct {
	self       fleet.RouterID
	dataCentre fleet.DataCentre
	view       *fleet.View

	// Expiry of the router's leases of shards, of key ranges and of the view.
	ownershipExpiry  clock.Instant
	rangeLeaseExpiry clock.Instant
	viewExpiry       clock.Instant
	upstream         fleet.Upstream
	// configuredService is the only service that the upstream may have, if not empty.
	configuredService string
	// peerAvailable is set if another executor may run calls of the same
	// service.
	peerAvailable bool
	leaving       bool
	stopping      bool
	// endsAt is when a stopping router breaks off its runs, or zero.
	endsAt clock.Instant
	// startsNone is set once a stopping router starts no more runs.
	startsNone bool

	shards      *ownedShards
	rangeLeases rangeLeases
	// rangeRequests takes the place of rangeLeases if the service's upstreams learn
	// their key ranges by requests.
	rangeRequests *rangeRequests
	keyMeter      *keyMeter
	earlyReport   earlyReport
	// observed is the latest heartbeat of the upstream.
	observed *Heartbeat
	// unavailableSince is when the upstream became unavailable for new work, or zero.
	unavailableSince clock.Instant
	// revocationCheckAt is when to check next whether the leases of revoked key
	// ranges have expired.
	revocationCheckAt clock.Instant
	// revocationGrace is how long an unavailable upstream goes on serving its
	// key ranges.
	revocationGrace time.Duration
	// lastLeased and lastRenewed are the ranges and the Renews of the last
	// answer to a heartbeat.
	lastLeased  []fleet.KeyRange
	lastRenewed bool
	limiter     *admission.Limiter
	queue       *jobQueue
	running     runningWork
	timers      jobHeap
	jobs        map[uint64]*job
	delegated   int
	tickets     map[Ticket]*job
	records     *recordStore
	refused     *refusedRequests
	nextRun     uint64
	// runTimes are the moving averages of run times, by operation.
	runTimes map[string]time.Duration
	slowdown slowdown
	// steppedAt is the time of the last step that changed queued or running calls.
	steppedAt clock.Instant
	// nextStartBy is the earliest startBy of the queued jobs.
	nextStartBy clock.Instant
	// nextPacedStart is when the pace of a cold upstream allows its next call.
	nextPacedStart clock.Instant
	// load says which parts of the queueing under contention are used.
	load    LoadSettings
	shares  *slotShares
	parents *parentAdmission
	// expired is reused by refuseExpired.
	expired []*job
	output  Output
}

// New returns an executor without an upstream, a lease or a view.
func New(self fleet.RouterID, dataCentre fleet.DataCentre) *Core {
	return &Core{
		self: self, dataCentre: dataCentre, view: fleet.NewView(), shards: newOwnedShards(),
		rangeLeases: rangeLeases{self: self, maxHold: maxHold}, rangeRequests: newRangeRequests(self), revocationGrace: maxRevocationGrace, keyMeter: newKeyMeter(),
		queue: newJobQueue(), shares: newSlotShares(), parents: newParentAdmission(), limiter: admission.NewLimiter(), jobs: map[uint64]*job{}, tickets: map[Ticket]*job{}, records: newRecordStore(), refused: newRefusedRequests(),
		nextPacedStart: clock.Never, revocationCheckAt: clock.Never, nextStartBy: clock.Never, runTimes: map[string]time.Duration{},
	}
}

// Take returns the output of the steps since the last Take.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// Idle reports whether no call is queued, running or delegated.
func (c *Core) Idle() bool { return len(c.jobs) == 0 }

// Held returns the number of shards that this executor owns and has not
// released. Without an ownership lease it is zero.
func (c *Core) Held(now clock.Instant) int {
	if now >= c.ownershipExpiry {
		return 0
	}
	return c.shards.countHeld()
}

// Deadline returns when Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	deadline := min(c.timers.first(), c.revocationCheckAt)
	if c.grantsByRequest() {
		deadline = min(deadline, c.rangeRequests.nextAt)
	}
	if c.queue.length > 0 {
		deadline = min(deadline, c.nextStartBy, c.nextPacedStart)
		if c.unavailableSince != 0 {
			deadline = min(deadline, c.unavailableSince.Add(c.revocationGrace))
		}
	}
	if c.earlyReport.dueAt != 0 {
		deadline = min(deadline, c.earlyReport.dueAt)
	}
	if (c.queue.length > 0 || len(c.timers) > 0) && c.keyed() {
		deadline = min(deadline, c.ownershipExpiry)
	}
	return deadline
}

// OwnershipExpiry returns when the ownership lease expires.
func (c *Core) OwnershipExpiry() clock.Instant { return c.ownershipExpiry }

// SetLease sets the session and the expiry of its ownership and view leases.
// The shards held under another session are dropped.
func (c *Core) SetLease(now clock.Instant, session fleet.Session, ownershipExpiry, viewExpiry clock.Instant) {
	if session != c.shards.session {
		if session != 0 {
			c.suspectCold(now)
		}
		c.shards.session = session
		c.shards.rebuild(now, c.view)
	}
	c.ownershipExpiry, c.viewExpiry = ownershipExpiry, viewExpiry
}

// SetRangeLease sets the expiry of the lease of key ranges.
func (c *Core) SetRangeLease(expiry clock.Instant) { c.rangeLeaseExpiry = expiry }

// Announce takes an announcement of the upstream beside the executor.
func (c *Core) Announce(now clock.Instant, u fleet.Upstream) {
	restarted := u.Boot != c.upstream.Boot
	c.upstream = u
	c.leaving = false
	c.followAvailability(now)
	if restarted {
		c.suspectCold(now)
	}
	c.findPeers()
	c.applyPreset()
	if c.limiter.Announce(u) {
		c.logLimit("cold")
		if c.load.timed() {
			c.refuseBeyondLimit(now)
		}
	}
	c.startQueued(now)
}

// Leave stops new work because the upstream is leaving or lost. Its key ranges
// are still served for revocationGrace.
func (c *Core) Leave(now clock.Instant) {
	c.leaving = true
	c.followAvailability(now)
	c.startQueued(now)
}

// Tick starts or refuses queued calls that are due, releases revoked key ranges
// whose lease has expired, and answers calls whose deadline has passed or whose
// shard's lease has expired.
func (c *Core) Tick(now clock.Instant) {
	c.startQueued(now)
	if now >= c.revocationCheckAt {
		c.CheckRevokedRanges(now)
	}
	if c.grantsByRequest() && now >= c.rangeRequests.nextAt {
		c.stepRangeRequests(now)
	}
	if now >= c.ownershipExpiry && c.keyed() {
		for _, j := range append(jobHeap(nil), c.timers...) {
			c.timeOut(now, j)
		}
	}
	for c.timers.first() <= now {
		c.timeOut(now, c.timers[0])
	}
}

// timeOut answers the callers of a job with may-have-run. A run is cancelled at
// the upstream, but stays in flight until its outcome arrives; a delegated call
// without an outcome is given up after delegationGrace.
func (c *Core) timeOut(now clock.Instant, j *job) {
	c.timers.remove(j)
	if j.timedOut {
		c.finish(j, call.Refusal(&j.call, verdict.MayHaveRun, verdict.ReasonDeadline))
		return
	}
	j.timedOut = true
	for _, ticket := range j.tickets {
		delete(c.tickets, ticket)
		c.reply(ticket, call.Refusal(&j.call, verdict.MayHaveRun, verdict.ReasonDeadline))
	}
	j.tickets = nil
	if j.phase == jobDelegated {
		j.timer = now.Add(delegationGrace)
		c.timers.add(j)
		return
	}
	c.abort(j)
}

// Load returns the current concurrency, queue length, limit and latency, and the waits and the
// slowdown as of the last step.
func (c *Core) Load() call.Load {
	return call.Load{
		InFlight: c.limiter.Running(), Queued: c.queue.length, Limit: c.limiter.Limit(), Latency: c.limiter.Latency(),
		Wait: c.wait(c.steppedAt), NestedWait: c.nestedWait(c.steppedAt), Slowdown: c.slowdown.at(c.steppedAt),
	}
}

// keyed reports whether the upstream's calls are keyed by shards, so that they
// must not run beyond the ownership lease.
func (c *Core) keyed() bool {
	s := c.view.Preset.Service(c.upstream.Service)
	return s != nil && s.Keyed && !s.Ranged
}

func (c *Core) log(definition *event.Definition, fields ...event.Field) {
	c.output.Events = append(c.output.Events, call.NewEvent(definition, fields...))
}

func (c *Core) logLimit(cause string) {
	c.log(event.LimitChanged, event.F("upstream", c.upstream.Name), event.F("limit", c.limiter.Limit()), event.F("cause", cause))
}
