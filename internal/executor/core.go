// Package executor decides what the one way to an upstream admits: ownership,
// leases, the admission limit, the queue and the records of non-idempotent
// requests. It is a pure state machine; time is an argument.
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
	// handBackTime is how long an upstream that must get no new work goes on with
	// the keys that it holds: about a heartbeat, in which they are asked back.
	maxRevocationGrace = 1200 * time.Millisecond
	// handBackShare is the share of the time that a leaving upstream serves in
	// which it goes on with its keys.
	revocationShareOfDrain = 0.6
	maxDelegated           = 1024        // calls at other doors at once
	delegationGrace        = time.Second // time beyond its deadline that a delegated call's outcome may take
)

// Core is one router's door. It is owned by one duty.
type Core struct {
	self       fleet.RouterID
	dataCentre fleet.DataCentre
	view       *fleet.View

	ownershipExpiry clock.Instant
	// rangesUntil is the end of the lease of ranges of keys.
	rangeLeaseExpiry clock.Instant
	viewExpiry       clock.Instant
	upstream         fleet.Upstream
	// others is set if another door may run the same service's calls.
	peerAvailable bool
	leaving       bool
	stopping      bool

	shards      *ownedShards
	rangeLeases rangeLeases
	keyMeter    *keyMeter
	// unfitSince is when the upstream was first seen to be unfit for new work.
	unavailableSince clock.Instant
	// lookAt is when ranges asked back are looked at.
	revocationCheckAt clock.Instant
	// handBack is how long an upstream that is unfit for new work goes on with the
	// keys that it holds.
	revocationGrace time.Duration
	// lentLast and lentRenewed are what the upstream was answered last.
	lastLeased  []fleet.KeyRange
	lastRenewed bool
	limiter     *admission.Limiter
	queue       jobHeap
	timers      jobHeap
	jobs        map[uint64]*job
	delegated   int
	tickets     map[Ticket]*job
	records     *recordStore
	nextRun     uint64
	// typical holds the run times of operations.
	runTimes map[string]time.Duration
	// expireAt is when the first queued call expires.
	nextStartBy clock.Instant
	// paceAt is when the pace of a cold upstream allows its next call.
	nextPacedStart clock.Instant
	output         Output
}

// New returns a door without an upstream, a lease or a view.
func New(self fleet.RouterID, centre fleet.DataCentre) *Core {
	return &Core{
		self: self, dataCentre: centre, view: fleet.NewView(), shards: newOwnedShards(),
		rangeLeases: rangeLeases{self: self, maxHold: maxHold}, revocationGrace: maxRevocationGrace, keyMeter: newKeyMeter(),
		limiter: admission.NewLimiter(), jobs: map[uint64]*job{}, tickets: map[Ticket]*job{}, records: newRecordStore(),
		nextPacedStart: clock.Never, revocationCheckAt: clock.Never, nextStartBy: clock.Never, runTimes: map[string]time.Duration{},
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
// Without a lease it owns none.
func (c *Core) Held(now clock.Instant) int {
	if now >= c.ownershipExpiry {
		return 0
	}
	return c.shards.countHeld()
}

// Deadline returns when Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	deadline := min(c.timers.first(), c.revocationCheckAt)
	if len(c.queue) > 0 {
		deadline = min(deadline, c.nextStartBy, c.nextPacedStart)
	}
	if (len(c.queue) > 0 || len(c.timers) > 0) && c.keyed() {
		deadline = min(deadline, c.ownershipExpiry)
	}
	return deadline
}

// OwnUntil returns when the ownership lease ends.
func (c *Core) OwnUntil() clock.Instant { return c.ownershipExpiry }

// SetLease sets the session and the instants at which its leases end.
func (c *Core) SetLease(now clock.Instant, session fleet.Session, ownUntil, viewUntil clock.Instant) {
	if session != c.shards.session {
		c.shards.session = session
		c.shards.rebuild(now, c.view)
	}
	c.ownershipExpiry, c.viewExpiry = ownUntil, viewUntil
}

// SetRangeLease sets the instant at which the lease of ranges of keys ends.
func (c *Core) SetRangeLease(until clock.Instant) { c.rangeLeaseExpiry = until }

// Announce takes what the upstream beside the door says of itself.
func (c *Core) Announce(now clock.Instant, u fleet.Upstream) {
	c.upstream = u
	c.leaving = false
	c.findPeers()
	c.applyPreset()
	if c.limiter.Announce(u) {
		c.logLimit("cold")
	}
	c.startQueued(now)
}

// Leave stops new work because the upstream leaves or is lost.
func (c *Core) Leave(now clock.Instant) {
	c.leaving = true
	c.startQueued(now)
}

// Stop stops new work because the router stops.
func (c *Core) Stop() { c.stopping = true }

// Tick refuses queued calls that can no longer run and answers calls whose
// deadline has passed.
func (c *Core) Tick(now clock.Instant) {
	c.startQueued(now)
	if now >= c.revocationCheckAt {
		c.CheckRevokedRanges(now)
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

// timeOut tells the callers of a run that its outcome is unknown. A delegated
// call without an outcome ends after a grace; others end with their run.
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

// Load returns the door's present load.
func (c *Core) Load() call.Load {
	return call.Load{InFlight: c.limiter.Running(), Queued: len(c.queue), Limit: c.limiter.Limit(), Latency: c.limiter.Latency()}
}

// keyed reports whether work of the upstream must not outlast the lease.
func (c *Core) keyed() bool {
	s := c.view.Preset.Service(c.upstream.Service)
	return s != nil && s.Keyed && !s.Ranged
}

func (c *Core) log(definition *event.Definition, fields ...event.Field) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(definition, fields...))
}

func (c *Core) logLimit(cause string) {
	c.log(event.LimitChanged, event.F("upstream", c.upstream.Name), event.F("limit", c.limiter.Limit()), event.F("cause", cause))
}
