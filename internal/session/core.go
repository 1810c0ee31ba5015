package session

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/lease"
)

const (
	// maxUnansweredRenewals is the number of renewal intervals without a message after
	// which the stream to control is closed and another control process is tried,
	// unless control is known to answer more slowly.
	maxUnansweredRenewals = 2
	// maxTimeoutRenewals is the longest such time, in renewal intervals.
	maxTimeoutRenewals = 8
	// timeoutFactor times the latest response time is the timeout.
	timeoutFactor = 2
)

// Core is the router's side of its session. It is a pure state machine: time,
// nonces and messages are arguments. It is owned by one duty.
type Core struct {
	renewalInterval time.Duration
	// router is the registration as the router wants it.
	router fleet.Router
	nonce  string
	// departed is set if the upstream has announced its departure to this process, and
	// adoptedUntil is how long one that was announced to an earlier process holds.
	departed     bool
	adoptedUntil clock.Instant
	// session is the open session, or zero.
	session fleet.Session
	// newestEnded is the newest session that has ended. Messages of it and of
	// older ones are stale and must not be applied.
	newestEnded fleet.Session
	// applied is the view version that the router has applied.
	applied fleet.Version
	// needFull is set if a change of the view was lost, until a full view or the
	// missing change is applied.
	needFull bool
	// registered is the registration of this router in the view.
	registered fleet.Router
	holder     *lease.Holder
	// pendingReleases holds the released shards that the view does not show as
	// released yet.
	pendingReleases map[fleet.ShardID]fsm.ShardRelease
	// keySpaces are those of the applied view.
	keySpaces map[string]*fleet.KeySpace
	// pendingReports holds the released ranges that the view does not show as
	// released yet.
	pendingReports []RangeReport
	// keyLoads, runTime and limit are to be sent with the next renewal.
	keyLoads []KeyLoad
	runTime  time.Duration
	limit    int
	// rangeLeaseUntil is the expiry of the last ownership lease that was granted
	// while the router had applied every change of the view. An ownership lease
	// granted while a change is missing does not extend the lease on ranges,
	// since that change may have revoked them.
	rangeLeaseUntil clock.Instant
	renewAt         clock.Instant
	lastReceivedAt  clock.Instant
	// awaitingFirst is set until the first message on a new stream, which must
	// arrive within responseTimeout.
	awaitingFirst bool
	connectedAt   clock.Instant
	// responseTimeout is how long control may take to answer. It follows the
	// response times, and doubles with each stream on which nothing arrives.
	responseTimeout time.Duration
	// closing is set once the router wants to close its session, closed once
	// control has closed it for that reason.
	closing bool
	closed  bool
}

// New returns the core of a router without a session. Renewals are due at the
// interval given; the nonce must be unique among all requests for a session.
func New(router fleet.Router, renewalInterval time.Duration, nonce string) *Core {
	return &Core{
		router: router, renewalInterval: renewalInterval, nonce: nonce, responseTimeout: renewalInterval,
		holder: lease.NewHolder(), pendingReleases: map[fleet.ShardID]fsm.ShardRelease{},
		keySpaces: map[string]*fleet.KeySpace{},
	}
}

// Connected records that a new stream to control is open and makes a renewal due
// now.
func (c *Core) Connected(now clock.Instant) {
	if c.awaitingFirst {
		c.setResponseTimeout(2 * c.responseTimeout)
	}
	c.renewAt = now
	c.lastReceivedAt, c.connectedAt = now, now
	c.awaitingFirst = true
}

// TimedOut reports whether the stream must be closed and another control process
// tried because nothing arrived on it in time. A new stream has less time for its
// first message, so that a stopped process delays the search for the leader only
// briefly. Both times grow with the response times of control: a timeout below them
// would close every stream before its first message, and no change would arrive.
func (c *Core) TimedOut(now clock.Instant) bool {
	return now >= c.timeoutAt()
}

func (c *Core) timeoutAt() clock.Instant {
	if c.awaitingFirst {
		return c.lastReceivedAt.Add(c.responseTimeout)
	}
	return c.lastReceivedAt.Add(max(maxUnansweredRenewals*c.renewalInterval, c.responseTimeout))
}

// setResponseTimeout sets the response timeout within its limits.
func (c *Core) setResponseTimeout(timeout time.Duration) {
	c.responseTimeout = min(max(timeout, c.renewalInterval), maxTimeoutRenewals*c.renewalInterval)
}

// Progress records that a part of a message has arrived: control is there, and a message
// that takes long must not be cut off.
func (c *Core) Progress(now clock.Instant) { c.lastReceivedAt = now }

// Redirected records that the process at the other end answered but is not leader. A quick
// answer says nothing about the response times of the leader.
func (c *Core) Redirected(now clock.Instant) {
	known := c.responseTimeout
	c.received(now)
	c.setResponseTimeout(max(known, c.responseTimeout))
}

func (c *Core) received(now clock.Instant) {
	if c.awaitingFirst {
		c.setResponseTimeout(timeoutFactor * now.Sub(c.connectedAt))
	}
	c.lastReceivedAt, c.awaitingFirst = now, false
}

// Deadline returns the instant at which TimedOut and DueRenewal must be called next.
func (c *Core) Deadline() clock.Instant { return min(c.renewAt, c.timeoutAt()) }

// DueRenewal returns the renewal to send now, if one is due. Its leases count from this
// call, so it must be sent at once.
func (c *Core) DueRenewal(now clock.Instant) (RouterMessage, bool) {
	if now < c.renewAt {
		return RouterMessage{}, false
	}
	c.renewAt = now.Add(c.renewalInterval)
	if c.router.DepartedBoot != "" && now >= c.adoptedUntil && !c.departed && !c.ordersBoots() {
		c.router.DepartedBoot = ""
	}
	up := RouterMessage{
		Nonce: c.nonce, Session: c.session, Sequence: c.holder.Renew(now), Applied: c.applied, NeedFull: c.needFull,
		Router: c.router, Differences: true, Closing: c.closing,
	}
	up.Router.Session, up.Router.EarlierStart = c.session, c.registered.EarlierStart
	up.Router.LastDeparture = c.router.LastDeparture.Later(c.registered.LastDeparture)
	if c.session != 0 {
		up.Nonce = ""
	}
	// A registration waits until the view shows the session, so that it keeps a departure
	// that an earlier process of the router registered.
	up.Registers = c.session == 0 || c.registered.Session == c.session && up.Router != c.registered
	if !up.Registers {
		up.Router = fleet.Router{ID: c.router.ID}
	}
	for _, r := range c.pendingReleases {
		up.Releases = append(up.Releases, r)
	}
	up.RangeReports, up.KeyLoads, up.RunTime, up.Limit = c.pendingReports, c.keyLoads, c.runTime, c.limit
	c.keyLoads, c.runTime, c.limit = nil, 0, 0
	return up, true
}

// Close asks control to close the session and makes a renewal due now.
func (c *Core) Close(now clock.Instant) {
	c.closing = true
	c.renewAt = now
}

// Closed reports whether control has closed the session as asked.
func (c *Core) Closed() bool { return c.closed }

// Session returns the open session, or zero.
func (c *Core) Session() fleet.Session { return c.session }

// Applied returns the view version that the router has applied.
func (c *Core) Applied() fleet.Version { return c.applied }

// Silence returns the time since the last message on the present stream, or since the
// stream was opened.
func (c *Core) Silence(now clock.Instant) time.Duration { return now.Sub(c.lastReceivedAt) }

// ViewConfirmedAt returns an instant at which the applied view is known to have been
// current, or zero.
func (c *Core) ViewConfirmedAt() clock.Instant { return c.holder.ViewConfirmedAt() }

// Receive handles a message from control other than a redirect or a rejection. It
// returns the update for gateway and executor; resync is set if a change of the view
// was lost, so that the stream must be opened again.
func (c *Core) Receive(now clock.Instant, down *ControlMessage) (update Update, resync bool) {
	c.received(now)
	if c.stale(down) {
		return c.update(), false
	}
	if down.Session != 0 && c.session == 0 {
		c.session = down.Session
	}
	if down.Lease && down.Session == c.session {
		resync = c.applyLease(now, down)
	}
	if down.Closed && c.closing {
		c.closed = true
		c.dropLease()
	}
	if down.Change != nil {
		resync = !c.applyChange(now, down.Change) || resync
	}
	update = c.update()
	if !resync {
		update.Change, update.ReceivedAt = down.Change, now
	}
	return update, resync
}

// applyLease takes the leases that a message grants. It reports whether a change of
// the view was lost before it. If so, it extends only the ownership lease, and neither
// the view lease nor the lease on ranges.
func (c *Core) applyLease(now clock.Instant, down *ControlMessage) (lost bool) {
	view := down.View
	if lost = c.applied < down.Version; lost {
		view = 0
	}
	if sent, ok := c.holder.Granted(down.Sequence, down.Ownership, view); ok {
		c.setResponseTimeout(timeoutFactor * now.Sub(sent))
	}
	if !lost {
		c.rangeLeaseUntil = c.holder.OwnershipUntil()
	}
	return lost
}

// update returns the session and the leases as they are now, without a change.
func (c *Core) update() Update {
	return Update{Session: c.session, OwnershipUntil: c.holder.OwnershipUntil(), ViewUntil: c.holder.ViewUntil(), RangeLeaseUntil: c.rangeLeaseUntil}
}

// stale reports whether a message belongs to a session that has ended.
func (c *Core) stale(down *ControlMessage) bool {
	return down.Session != 0 && down.Session <= c.newestEnded
}

// IsRejection reports whether a message ends a session that this router has not asked
// to close; such a message goes to HandleRejection, not to Receive.
func (c *Core) IsRejection(down *ControlMessage) bool {
	return down.Rejected && !(down.Closed && c.closing)
}

// HandleRejection ends the session that a message rejects, together with its ownership
// lease and pending reports, and asks for a new session under a new nonce. A stale
// message changes nothing.
func (c *Core) HandleRejection(now clock.Instant, down *ControlMessage, nonce string) Update {
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

// applyChange follows the view by a change and drops the reports that the change
// confirms. It reports false if the change does not start at the applied version, or
// is older than it; then nothing is applied and a full view is asked for.
func (c *Core) applyChange(now clock.Instant, change *fleet.Change) bool {
	if change.To < c.applied || (!change.Full && change.From != c.applied) {
		c.needFull = true
		return false
	}
	c.applied = change.To
	c.needFull = false
	for _, router := range change.Routers {
		if router.ID == c.router.ID {
			c.registered = router
			c.adoptDeparture(now)
		}
	}
	c.applyKeySpaces(change)
	for _, shard := range change.Shards {
		if r, ok := c.pendingReleases[shard.ID]; ok && (shard.Epoch != r.Epoch || shard.Phase == fleet.ShardFree) {
			delete(c.pendingReleases, shard.ID)
		}
	}
	return true
}

// dropLease ends the ownership lease and the lease on ranges at once. The view
// lease stays until its expiry.
func (c *Core) dropLease() {
	c.holder.DropOwnership()
	c.rangeLeaseUntil = 0
}
