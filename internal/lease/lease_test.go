package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

var timing = Timing{Ownership: 100, View: 300, Margin: 10}

// TestTableOutlivesHolder checks that the leader counts a lease from its answer,
// plus a margin, and the router from sending the renewal: a session must never
// expire at the leader while the router still acts on its lease.
func TestTableOutlivesHolder(t *testing.T) {
	table, holder := NewTable(timing), NewHolder()
	table.Reset([]fleet.Session{1, 2}, 0)
	sequence := holder.Renew(50)
	assert.Assert(t, table.Renew(1, 60))
	holder.Granted(sequence, timing.Ownership, timing.View)
	assert.Equal(t, holder.OwnershipUntil(), clock.Instant(150), "counted from sending the renewal")
	assert.DeepEqual(t, table.Expire(109), []fleet.Session(nil))
	assert.DeepEqual(t, table.Expire(110), []fleet.Session{2})
	assert.Assert(t, !table.Renew(2, 111), "an expired session is not renewed")
	assert.DeepEqual(t, table.Expire(169), []fleet.Session(nil))
	assert.DeepEqual(t, table.Expire(170), []fleet.Session{1})   // counted from the answer, plus the margin
	assert.DeepEqual(t, table.Expire(200), []fleet.Session(nil)) // returned once only
	assert.Assert(t, !table.Renew(3, 200), "an unknown session is not renewed")
}

// TestNewLeaderWaitsForOldLeases checks that a new leader lets the leases expire which its
// predecessor may have granted until the change of term.
func TestNewLeaderWaitsForOldLeases(t *testing.T) {
	table := NewTable(timing)
	table.Open(1, 0)
	table.Reset([]fleet.Session{1}, 90)
	assert.DeepEqual(t, table.Expire(199), []fleet.Session(nil))
	assert.DeepEqual(t, table.Expire(200), []fleet.Session{1})
}

// TestClosedSessionMayHoldView checks that a session may hold a view after it was
// closed, and that sessions closed under the previous leader are unknown.
func TestClosedSessionMayHoldView(t *testing.T) {
	table := NewTable(timing)
	table.Reset([]fleet.Session{1}, 0)
	sessions, others := table.MayHoldView(309)
	assert.DeepEqual(t, sessions, []fleet.Session{1})
	assert.Assert(t, others, "sessions closed before the term are unknown")
	assert.Assert(t, table.Renew(1, 20))
	table.Close(1)
	table.Expire(329)
	sessions, others = table.MayHoldView(329)
	assert.DeepEqual(t, sessions, []fleet.Session{1})
	assert.Assert(t, !others)
	table.Expire(330)
	assert.Assert(t, !table.Tracks(1))
}

// TestDroppedHolderTakesNoLateLease checks that the answer to a renewal sent
// before the lease was dropped extends nothing, and that answers may arrive out
// of order.
func TestDroppedHolderTakesNoLateLease(t *testing.T) {
	holder := NewHolder()
	sequence := holder.Renew(10)
	holder.DropOwnership()
	holder.Granted(sequence, time.Second, time.Second)
	assert.Equal(t, holder.OwnershipUntil(), clock.Instant(0))
	late, newer := holder.Renew(20), holder.Renew(30)
	holder.Granted(newer, 100, 100)
	holder.Granted(late, 100, 100)
	assert.Equal(t, holder.OwnershipUntil(), clock.Instant(130), "a late answer does not shorten the lease")
}
