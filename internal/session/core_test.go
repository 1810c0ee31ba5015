package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

const (
	renewalTime = 300 * time.Millisecond
	ownership   = time.Second
	viewTime    = 3 * time.Second
)

var self = fleet.Router{ID: "r", Address: "10.0.0.1:1"}

// newOpened returns a core with session 5 open at view version 1.
func newOpened(t *testing.T, now clock.Instant) *Core {
	t.Helper()
	c := New(self, renewalTime, "first")
	c.Connected(now)
	shown := self
	shown.Session = 5
	_, resync := c.Receive(now, &ControlMessage{Session: 5, Change: &fleet.Change{To: 1, Full: true, Routers: []fleet.Router{shown}}})
	assert.Assert(t, !resync)
	return c
}

func renewAndAnswer(c *Core, now clock.Instant, version fleet.Version) (Update, bool) {
	c.renewAt = now
	up, _ := c.DueRenewal(now)
	return c.Receive(now, &ControlMessage{Session: c.Session(), Sequence: up.Sequence, Lease: true, Ownership: ownership, View: viewTime, Version: version})
}

// A message of an ended session that arrives late must not open it again, and a
// late rejection must not end the next one.
func TestLateMessagesChangeNothing(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newOpened(t, now)
	update, _ := renewAndAnswer(c, now, 1)
	assert.Equal(t, update.OwnershipUntil, now.Add(ownership))
	update = c.HandleRejection(now, &ControlMessage{Session: 5, Rejected: true}, "second")
	assert.Equal(t, update.Session, fleet.Session(0))
	assert.Equal(t, update.OwnershipUntil, clock.Instant(0))
	update, _ = c.Receive(now, &ControlMessage{Session: 5, Change: &fleet.Change{From: 1, To: 2}})
	assert.Equal(t, update.Session, fleet.Session(0), "an ended session is not opened again")
	c.HandleRejection(now, &ControlMessage{Session: 5, Rejected: true}, "third")
	c.renewAt = now
	up, _ := c.DueRenewal(now)
	assert.Equal(t, up.Nonce, "second", "a late rejection does not change the nonce")
	assert.Assert(t, up.Registers)
	update, _ = c.Receive(now, &ControlMessage{Session: 6})
	assert.Equal(t, update.Session, fleet.Session(6))
}

// Control also closes a session whose lease has expired. The router takes its session
// for closed only if it asked for that, and otherwise opens a new one.
func TestClosedOnlyIfAsked(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newOpened(t, now)
	ended := &ControlMessage{Session: 5, Closed: true, Rejected: true}
	assert.Assert(t, c.IsRejection(ended), "closed by control because its lease expired")
	c.Receive(now, ended)
	assert.Assert(t, !c.Closed())
	c.Close(now)
	assert.Assert(t, !c.IsRejection(ended))
	c.Receive(now, ended)
	assert.Assert(t, c.Closed())
}

// A lease that arrives after a lost change must not extend the view lease: the router
// would go on accepting requests under an old view.
func TestViewLeaseNeedsTheView(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newOpened(t, now)
	update, lost := renewAndAnswer(c, now, 1)
	assert.Assert(t, !lost && update.ViewUntil == now.Add(viewTime))
	later := now.Add(time.Second)
	update, lost = renewAndAnswer(c, later, 2)
	assert.Assert(t, lost, "the stream must be opened again")
	assert.Equal(t, update.ViewUntil, now.Add(viewTime), "the view lease is not extended")
	assert.Equal(t, update.OwnershipUntil, later.Add(ownership))
	_, resync := c.Receive(later, &ControlMessage{Session: 5, Change: &fleet.Change{From: 3, To: 4}})
	assert.Assert(t, resync, "a change that leaves a gap")
	c.Connected(later)
	c.renewAt = later
	up, _ := c.DueRenewal(later)
	assert.Assert(t, up.NeedFull, "asks for a full view")
	assert.Equal(t, up.Applied, fleet.Version(1), "no older than the applied version")
}

// A registration and a release may be lost on the way, so each renewal repeats them
// until the view shows them.
func TestReportsAreRepeatedUntilShown(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newOpened(t, now)
	due := func() RouterMessage {
		c.renewAt = now
		up, _ := c.DueRenewal(now)
		return up
	}
	assert.Assert(t, !due().Registers && due().Router == fleet.Router{ID: "r"} && due().Nonce == "")
	c.SetRegistration(now, fleet.Upstream{Name: "u"}, false, false)
	for range 2 {
		assert.Assert(t, due().Registers)
	}
	shown := due().Router
	shard := fleet.ShardID{Service: "timetable", Number: 1}
	c.Release(now, []fsm.ShardRelease{{Shard: shard, Epoch: 3}})
	assert.Equal(t, len(due().Releases), 1)
	c.Receive(now, &ControlMessage{Session: 5, Change: &fleet.Change{From: 1, To: 2, Routers: []fleet.Router{shown}}})
	assert.Assert(t, !due().Registers)
	assert.Equal(t, len(due().Releases), 1)
	freed := fleet.Shard{ID: shard, Epoch: 3}
	c.Receive(now, &ControlMessage{Session: 5, Change: &fleet.Change{From: 2, To: 3, Shards: []fleet.Shard{freed}}})
	assert.Equal(t, len(due().Releases), 0)
}

// TestStreamTimeout checks that a stream on which nothing ever arrived times out early,
// after a time that doubles up to a limit, and one that was in use after two renewals.
func TestStreamTimeout(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := New(self, renewalTime, "first")
	for _, limit := range []time.Duration{renewalTime, 2 * renewalTime, 4 * renewalTime, 8 * renewalTime, 8 * renewalTime} {
		c.Connected(now)
		assert.Assert(t, !c.TimedOut(now.Add(limit-1)) && c.TimedOut(now.Add(limit)), "%v", limit)
	}
	c.Redirected(now)
	c.Connected(now)
	assert.Equal(t, c.Deadline(), now)
	c.DueRenewal(now)
	assert.Equal(t, c.Deadline(), now.Add(renewalTime))
	c.Receive(now, &ControlMessage{Session: 5})
	assert.Assert(t, !c.TimedOut(now.Add(2*renewalTime-1)) && c.TimedOut(now.Add(2*renewalTime)))
}

// Guards against streams that are closed before control, which answers slowly, can
// answer: both timeouts must follow the response times, up to a limit, and come back.
func TestStreamTimeoutFollowsResponseTimes(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := newOpened(t, now)
	for _, test := range []struct{ response, first, inUse time.Duration }{
		{10 * time.Millisecond, renewalTime, 2 * renewalTime},
		{2 * renewalTime, 4 * renewalTime, 4 * renewalTime},
		{time.Minute, 8 * renewalTime, 8 * renewalTime},
		{10 * time.Millisecond, renewalTime, 2 * renewalTime},
	} {
		c.renewAt = now
		up, _ := c.DueRenewal(now)
		now = now.Add(test.response)
		c.Receive(now, &ControlMessage{Session: 5, Sequence: up.Sequence, Lease: true, Ownership: ownership, View: viewTime, Version: 1})
		assert.Assert(t, !c.TimedOut(now.Add(test.inUse-1)) && c.TimedOut(now.Add(test.inUse)), "in use, response time %v", test.response)
		c.Connected(now)
		assert.Assert(t, !c.TimedOut(now.Add(test.first-1)) && c.TimedOut(now.Add(test.first)), "new, response time %v", test.response)
		c.Receive(now, &ControlMessage{Session: 5})
	}
	c.Connected(now)
	c.Redirected(now.Add(2 * renewalTime))
	c.Connected(now)
	assert.Assert(t, !c.TimedOut(now.Add(4*renewalTime-1)), "a redirect that took two renewals")
}
