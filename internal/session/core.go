package session

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/fleet"
	"endivespring/internal/lease"
)

// silentRenewals is the number of renewals without an answer after which the
// connection to control is given up.
const maxUnansweredRenewals = 2

// Core is the router's side of its session. It is a pure state machine: time,
// nonces and messages are arguments.
type Core struct {
	renewalInterval time.Duration
	router          fleet.Router
	nonce           string
	session         fleet.Session
	// dropped is the newest session that was given up. Messages of it and of
	// older ones are late.
	newestEnded fleet.Session
	applied     fleet.Version
	needFull    bool
	// shown is what the view says of this router.
	registered      fleet.Router
	holder          *lease.Holder
	pendingReleases map[fleet.ShardID]control.Release
	// reports are ranges given back that the view does not show as such yet.
	pendingReports []RangeReport
	keyLoads       []KeyLoad
	runTime        time.Duration
	// rangesUntil is the end of the ownership lease that came with a view in
	// which no range had changed hands.
	rangeLeaseUntil clock.Instant
	renewAt         clock.Instant
	lastReceivedAt  clock.Instant
	// unheard is set until something is heard on a new stream; patience is how
	// long that may take.
	awaitingFirst bool
	firstTimeout  time.Duration
	closing       bool
	closed        bool
}

// New returns a router without a session. Renewals are sent once every renewal.
func New(router fleet.Router, renewal time.Duration, nonce string) *Core {
	return &Core{
		router: router, renewalInterval: renewal, nonce: nonce, firstTimeout: renewal,
		holder: lease.NewHolder(), pendingReleases: map[fleet.ShardID]control.Release{},
	}
}

// Connected starts a new stream to control and makes a renewal due.
func (c *Core) Connected(now clock.Instant) {
	if c.awaitingFirst {
		c.firstTimeout = min(2*c.firstTimeout, maxUnansweredRenewals*c.renewalInterval)
	}
	c.renewAt = now
	c.lastReceivedAt = now
	c.awaitingFirst = true
}

// Silent reports whether the stream must be given up. A new one is given less
// time, so that one stopped process costs little; the time grows while none
// answers.
func (c *Core) Silent(now clock.Instant) bool {
	return now >= c.timeoutAt()
}

func (c *Core) timeoutAt() clock.Instant {
	if c.awaitingFirst {
		return c.lastReceivedAt.Add(c.firstTimeout)
	}
	return c.lastReceivedAt.Add(maxUnansweredRenewals * c.renewalInterval)
}

// Redirected notes that the process at the other end answered but does not lead.
func (c *Core) Redirected(now clock.Instant) { c.received(now) }

func (c *Core) received(now clock.Instant) {
	c.lastReceivedAt, c.awaitingFirst, c.firstTimeout = now, false, c.renewalInterval
}

// Deadline returns when Silent and Due must be called next.
func (c *Core) Deadline() clock.Instant { return min(c.renewAt, c.timeoutAt()) }

// Due returns the renewal to send now, if any.
func (c *Core) Due(now clock.Instant) (Up, bool) {
	if now < c.renewAt {
		return Up{}, false
	}
	c.renewAt = now.Add(c.renewalInterval)
	up := Up{
		Nonce: c.nonce, Session: c.session, Sequence: c.holder.Renew(now), Applied: c.applied, NeedFull: c.needFull,
		Router: c.router, Closing: c.closing,
	}
	up.Router.Session = c.session
	if c.session != 0 {
		up.Nonce = ""
	}
	up.Registers = c.session == 0 || up.Router != c.registered
	if !up.Registers {
		up.Router = fleet.Router{ID: c.router.ID}
	}
	for _, r := range c.pendingReleases {
		up.Releases = append(up.Releases, r)
	}
	up.RangeReports, up.KeyLoads, up.RunTime = c.pendingReports, c.keyLoads, c.runTime
	c.keyLoads, c.runTime = nil, 0
	return up, true
}

// Registration changes what the router says of itself and makes a renewal due.
func (c *Core) Registration(now clock.Instant, upstream fleet.Upstream, leaving bool) {
	if c.router.Upstream == upstream && c.router.Leaving == leaving {
		return
	}
	c.router.Upstream = upstream
	c.router.Leaving = leaving
	c.renewAt = now
}

// Close asks to end the session and makes a renewal due.
func (c *Core) Close(now clock.Instant) {
	c.closing = true
	c.renewAt = now
}

// Closed reports whether control has ended the session as asked.
func (c *Core) Closed() bool { return c.closed }

// Session returns the open session, or zero.
func (c *Core) Session() fleet.Session { return c.session }

// Receive takes a message from control. It returns the update for entry and
// door; resync is set if the stream must be opened again.
func (c *Core) Receive(now clock.Instant, down *Down) (update Update, resync bool) {
	c.received(now)
	if c.stale(down) {
		return c.update(), false
	}
	if down.Session != 0 && c.session == 0 {
		c.session = down.Session
	}
	if down.Lease && down.Session == c.session {
		resync = c.applyLease(down)
	}
	if down.Closed && c.closing {
		c.closed = true
		c.dropLease()
	}
	if down.Change != nil {
		resync = !c.applyChange(down.Change) || resync
	}
	update = c.update()
	if !resync {
		update.Change = down.Change
	}
	return update, resync
}

// granted takes a lease and reports whether a change got lost on the way: then
// neither the view lease nor that of ranges is extended.
func (c *Core) applyLease(down *Down) (lost bool) {
	view := down.View
	if lost = c.applied < down.Version; lost {
		view = 0
	}
	c.holder.Granted(down.Sequence, down.Ownership, view)
	if !lost {
		c.rangeLeaseUntil = c.holder.OwnershipUntil()
	}
	return lost
}

// update returns what entry and door must know at any time.
func (c *Core) update() Update {
	return Update{Session: c.session, OwnUntil: c.holder.OwnershipUntil(), ViewUntil: c.holder.ViewUntil(), RangesUntil: c.rangeLeaseUntil}
}

// late reports whether a message belongs to a session that was given up.
func (c *Core) stale(down *Down) bool { return down.Session != 0 && down.Session <= c.newestEnded }

// Rejects reports whether a message ends a session that this router has not
// asked to end; then Rejected must be called.
func (c *Core) Rejects(down *Down) bool { return down.Rejected && !(down.Closed && c.closing) }

// Rejected drops the session that a message rejects, and its lease, and starts
// over under a new nonce. A late message changes nothing.
func (c *Core) Rejected(now clock.Instant, down *Down, nonce string) Update {
	c.received(now)
	if c.stale(down) {
		return c.update()
	}
	c.nonce = nonce
	c.newestEnded = max(c.newestEnded, c.session, down.Session)
	c.session = 0
	clear(c.pendingReleases)
	c.pendingReports = nil
	c.dropLease()
	c.renewAt = now
	return c.update()
}

// apply tracks the version and drops releases that the change shows.
func (c *Core) applyChange(change *fleet.Change) bool {
	if change.To < c.applied || (!change.Full && change.From != c.applied) {
		c.needFull = true
		return false
	}
	c.applied = change.To
	c.needFull = false
	for _, router := range change.Routers {
		if router.ID == c.router.ID {
			c.registered = router
		}
	}
	for i := range change.KeySpaces {
		c.dropConfirmedReports(&change.KeySpaces[i])
	}
	for _, shard := range change.Shards {
		if r, ok := c.pendingReleases[shard.ID]; ok && (shard.Epoch != r.Epoch || shard.Phase == fleet.ShardFree) {
			delete(c.pendingReleases, shard.ID)
		}
	}
	return true
}

// drop ends the ownership lease.
func (c *Core) dropLease() {
	c.holder.Drop()
	c.rangeLeaseUntil = 0
}
