package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

// newLeader returns a core that is leader and the open session of its one router.
func newLeader(t *testing.T, now clock.Instant) (*controller.Core, fleet.Session) {
	t.Helper()
	sim := &simulation{timing: timing()}
	core := sim.core()
	core.ApplyCommitted(now, 1, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "p", Preset: preset("ordinary")}})
	core.ApplyCommitted(now, 1, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "n", Router: fleet.Router{ID: "r"}}})
	core.SetLeadership(now, controller.Leadership{IsLeader: true, Term: 1, LeaseUntil: clock.Never})
	core.Take()
	return core, core.State().LastSession
}

func renewal(id fleet.Session, applied fleet.Version) *session.RouterMessage {
	return &session.RouterMessage{Session: id, Sequence: 1, Applied: applied, Router: fleet.Router{ID: "r"}}
}

// proposedCloses returns the number of sessions that an output proposes to close.
func proposedCloses(out controller.Output) (sessions int) {
	for _, p := range out.Proposals {
		if p.CloseSessions != nil {
			sessions += len(p.CloseSessions.Sessions)
		}
	}
	return sessions
}

// A leader whose process is suspended for longer than a lease checks leases before it
// handles the renewals that arrived meanwhile. It must not close their sessions.
func TestStallDoesNotExpireSessions(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, _ := newLeader(t, now)
	core.Tick(now)
	core.Tick(now.Add(3 * time.Second))
	assert.Equal(t, proposedCloses(core.Take()), 0)
	for end := now.Add(5 * time.Second); now < end; now = now.Add(20 * time.Millisecond) {
		core.Tick(now.Add(3 * time.Second))
	}
	assert.Assert(t, proposedCloses(core.Take()) > 0, "a session that is not renewed is closed")
}

// A router may ask to close its session while requests still run on its shards. The
// session must stay open until the shards are released, and must not be renewed.
func TestClosingSessionKeepsItsShards(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, id := newLeader(t, now)
	shard := fleet.ShardID{Service: serviceName}
	core.ApplyCommitted(now, 1, &fsm.Command{Assign: &fsm.Assign{Grants: []fsm.Grant{{Shard: shard, Router: "r", Session: id}}}})
	core.Take()
	up := renewal(id, core.State().View.Version)
	up.Closing = true
	core.HandleRenewal(now, 1, up)
	out := core.Take()
	assert.Equal(t, proposedCloses(out)+len(out.Sends), 0, "neither closed nor renewed")
	core.ApplyCommitted(now, 1, &fsm.Command{ReleaseShards: &fsm.ReleaseShards{Session: id, Releases: []fsm.ShardRelease{{Shard: shard, Epoch: 1}}}})
	core.HandleRenewal(now, 1, up)
	assert.Equal(t, proposedCloses(core.Take()), 1)
}

// Guards against an order that is not acknowledged in time (SHORT): a leader that was suspended
// until its lease had run out redirected operators to itself, and each followed it twice.
func TestLeaderWithoutALeaseRedirectsToNobody(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, _ := newLeader(t, now)
	core.SetLeadership(now, controller.Leadership{IsLeader: true, Leader: "control-1", Term: 1, LeaseUntil: now})
	core.Take()
	core.ProposeOperatorChange(now, 1, &fsm.OperatorChange{CommandID: "c"})
	replies := core.Take().Replies
	assert.Equal(t, len(replies), 1)
	assert.Assert(t, replies[0].Redirect)
	assert.Equal(t, replies[0].Leader, "")
	core.SetLeadership(now, controller.Leadership{Leader: "control-2", Term: 2})
	core.ProposeOperatorChange(now, 2, &fsm.OperatorChange{CommandID: "c"})
	replies = core.Take().Replies
	assert.Assert(t, replies[len(replies)-1].Leader != "")
}

// Every operator's request is answered: with the result once its command is committed,
// as unknown if the command is not committed in time or the leader changes before, and
// with a redirect by a process that is not leader.
func TestOperatorRequestsAreAnswered(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, _ := newLeader(t, now)
	change := &fsm.OperatorChange{CommandID: "c", Expected: 1, DataCentre: &fleet.DataCentreSetting{Name: "lodz", Out: true}}
	core.ProposeOperatorChange(now, 1, change)
	core.ApplyCommitted(now, 1, &fsm.Command{OperatorChange: change})
	replies := core.Take().Replies
	assert.Assert(t, len(replies) == 1 && replies[0].Result.Accepted && !replies[0].OutcomeUnknown)
	core.ProposeOperatorChange(now, 2, &fsm.OperatorChange{CommandID: "lost"})
	core.Tick(now.Add(time.Second))
	assert.Equal(t, len(core.Take().Replies), 0)
	core.Tick(now.Add(time.Minute))
	replies = core.Take().Replies
	assert.Assert(t, len(replies) == 1 && replies[0].OutcomeUnknown)
	core.ProposeOperatorChange(now, 3, &fsm.OperatorChange{CommandID: "under way"})
	core.SetLeadership(now, controller.Leadership{Term: 2})
	replies = core.Take().Replies
	assert.Assert(t, len(replies) == 1 && replies[0].OutcomeUnknown)
	core.ProposeOperatorChange(now, 4, &fsm.OperatorChange{CommandID: "new"})
	replies = core.Take().Replies
	assert.Assert(t, len(replies) == 1 && replies[0].Redirect)
}

// Guards against an accepted command whose acknowledgement was lost and that nobody can
// acknowledge again, because there is no leader, it cannot be reached, or its lease has expired:
// every process that has applied the command answers its resends.
func TestAnyProcessAcknowledgesAnAcceptedCommandAgain(t *testing.T) {
	now := clock.Instant(time.Hour)
	change := &fsm.OperatorChange{CommandID: "c", Digest: 7, Expected: 1, DataCentre: &fleet.DataCentreSetting{Name: "lodz", Out: true}}
	for name, leadership := range map[string]controller.Leadership{
		"no leader":            {Term: 2},
		"follower":             {Term: 2, Leader: "other"},
		"expired leader lease": {IsLeader: true, Term: 2, LeaseUntil: now - 1},
		"leader":               {IsLeader: true, Term: 2, LeaseUntil: clock.Never},
	} {
		core, _ := newLeader(t, now)
		core.ApplyCommitted(now, 1, &fsm.Command{OperatorChange: change})
		core.SetLeadership(now, leadership)
		core.Take()
		core.ProposeOperatorChange(now, 1, change)
		out := core.Take()
		assert.Equal(t, len(out.Proposals), 0, name)
		assert.Assert(t, len(out.Replies) == 1, name)
		assert.DeepEqual(t, out.Replies[0], controller.OperatorReply{Token: 1, Result: fsm.Result{Accepted: true, Config: 2, Version: 3}})
	}
}

// Only the result of the very command that was accepted is final: commands that reuse its id,
// and those that were refused, go to the leader. Without enough voters nothing is acknowledged.
func TestOtherCommandsAreNotAcknowledgedFromTheState(t *testing.T) {
	now := clock.Instant(time.Hour)
	accepted := fsm.OperatorChange{CommandID: "c", Digest: 7, Expected: 1, DataCentre: &fleet.DataCentreSetting{Name: "lodz", Out: true}}
	refused := accepted
	refused.CommandID = "late"
	other := accepted
	other.Digest = 8
	core, _ := newLeader(t, now)
	core.ApplyCommitted(now, 1, &fsm.Command{OperatorChange: &accepted})
	core.ApplyCommitted(now, 1, &fsm.Command{OperatorChange: &refused})
	core.SetLeadership(now, controller.Leadership{Term: 2, Leader: "other"})
	core.Take()
	for _, change := range []*fsm.OperatorChange{&refused, &other, {CommandID: "new"}} {
		core.ProposeOperatorChange(now, 1, change)
		replies := core.Take().Replies
		assert.Assert(t, len(replies) == 1 && replies[0].Redirect, change.CommandID)
	}
	core.RequireVoters(2)
	core.ProposeOperatorChange(now, 1, &accepted)
	replies := core.Take().Replies
	assert.Assert(t, len(replies) == 1 && replies[0].Redirect)
}

// Guards against an early attempt of a command that is held up on its way, and undoes a
// later command when it arrives: without a base version the state cannot tell the two, but
// whoever sent the attempt has closed its connection by then.
func TestCommandWithoutBaseNeedsItsCaller(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, _ := newLeader(t, now)
	change := &fsm.OperatorChange{CommandID: "c", Unconditional: true, DataCentre: &fleet.DataCentreSetting{Name: "lodz", Out: true}}
	core.ProposeOperatorChange(now, 1, change)
	out := core.Take()
	assert.Equal(t, len(out.Proposals), 0)
	assert.Assert(t, len(out.Replies) == 1 && out.Replies[0].ConfirmCaller)
	core.ProposeConfirmedChange(now, 2, change)
	out = core.Take()
	assert.Assert(t, len(out.Proposals) == 1 && len(out.Replies) == 0)
	core.SetLeadership(now, controller.Leadership{Term: 2})
	core.Take()
	core.ProposeOperatorChange(now, 3, change)
	out = core.Take()
	assert.Assert(t, len(out.Replies) == 1 && out.Replies[0].Redirect, "no waiting before a redirect")
}

// With fewer voters than the fleet's tolerance requires, a committed command might be
// lost. The leader must not propose it and must tell the operator so.
func TestOperatorChangesRequireEnoughVoters(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, _ := newLeader(t, now)
	core.RequireVoters(5)
	change := &fsm.OperatorChange{CommandID: "c", Expected: 1, DataCentre: &fleet.DataCentreSetting{Name: "lodz", Out: true}}
	for voters, want := range map[int]bool{3: false, 4: false, 5: true} {
		core.SetLeadership(now, controller.Leadership{IsLeader: true, Term: 1, LeaseUntil: clock.Never, Voters: make([]string, voters)})
		core.Take()
		core.ProposeOperatorChange(now, 1, change)
		out := core.Take()
		assert.Equal(t, len(out.Proposals) > 0, want, "%d voters", voters)
		assert.Equal(t, len(out.Replies) == 1 && out.Replies[0].TooFewVoters, !want, "%d voters", voters)
	}
}

// A change is in force everywhere only once no router can accept requests under an
// older config version: a new leader does not know that before a view lease has
// passed, and a router may go on after its session was closed.
func TestInForceEverywhere(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, id := newLeader(t, now)
	view := timing().View.Value() + timing().Drift.Value()
	assert.Assert(t, !core.Status(now).InForceEverywhere, "a new leader does not know which routers hold a view lease")
	now = now.Add(view)
	core.SetLeadership(now, controller.Leadership{IsLeader: true, Term: 2, LeaseUntil: clock.Never})
	for end := now.Add(view); now < end; now = now.Add(100 * time.Millisecond) {
		core.HandleRenewal(now, 1, renewal(id, core.State().View.Version))
	}
	assert.Assert(t, core.Status(now).InForceEverywhere)
	core.ApplyCommitted(now, 2, &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "x", Expected: 1, DataCentre: &fleet.DataCentreSetting{Name: "lodz", Out: true}}})
	status := core.Status(now)
	assert.Assert(t, !status.InForceEverywhere)
	assert.DeepEqual(t, status.RoutersWorkingOnOlder, []string{"r"})
	core.ApplyCommitted(now, 2, &fsm.Command{CloseSessions: &fsm.CloseSessions{Term: 2, Sessions: []fleet.Session{id}}})
	assert.DeepEqual(t, core.Status(now).RoutersWorkingOnOlder, []string{"r"}) // its view lease outlasts the session
	assert.Assert(t, core.Status(now.Add(view)).InForceEverywhere)
}

// A router that restarts opens a session while its last one is still open. Renewals of
// the last one must then be rejected.
func TestReplacedSessionIsNotRenewed(t *testing.T) {
	now := clock.Instant(time.Hour)
	core, id := newLeader(t, now)
	core.ApplyCommitted(now, 1, &fsm.Command{OpenSession: &fsm.OpenSession{Nonce: "next", Router: fleet.Router{ID: "r"}}})
	core.HandleRenewal(now, 1, renewal(id, core.State().View.Version))
	sends := core.Take().Sends
	assert.Assert(t, len(sends) == 1 && sends[0].Message.Rejected && !sends[0].Message.Lease)
	core.HandleRenewal(now, 2, renewal(id+1, core.State().View.Version))
	sends = core.Take().Sends
	assert.Assert(t, len(sends) == 1 && sends[0].Message.Lease)
}
