package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

const startTime = clock.Instant(time.Hour)

var (
	idA, idB, idC = NodeID{"a", "1"}, NodeID{"b", "1"}, NodeID{"c", "1"}
	idNew         = NodeID{"c", "2"}
	threeVoters   = Membership{Voters: []NodeID{idA, idB, idC}}
)

// restored returns node a of three voters, restored from a disk with a snapshot
// at index 1 and one entry of each given term after it.
func restored(hard HardState, terms ...uint64) *Core {
	stored := Stored{HardState: hard, Snapshot: &Snapshot{Index: 1, Term: 1, Membership: threeVoters}}
	for i, term := range terms {
		stored.Entries = append(stored.Entries, Entry{Index: uint64(i) + 2, Term: term})
	}
	return New(Config{
		ID: idA, Peers: []string{"a", "b", "c"}, HeartbeatInterval: heartbeat, ElectionTimeout: election,
		DriftMargin: driftMargin, MaxBatch: 5,
	}, &stored, startTime)
}

// elected returns node a just after it won an election, with its clock and the
// index of its barrier, which is not committed yet.
func elected(hard HardState, terms ...uint64) (*Core, clock.Instant, uint64) {
	c := restored(hard, terms...)
	now := startTime.Add(2 * election)
	c.Tick(now)
	c.Step(&Message{Kind: PreVoteReply, From: idB, To: idA, Term: c.Term() + 1})
	c.Step(&Message{Kind: VoteReply, From: idB, To: idA, Term: c.Term()})
	c.Take()
	return c, now, c.LastIndex()
}

// readyLeader returns node a as leader with its barrier committed, and its
// clock.
func readyLeader() (*Core, clock.Instant) {
	c, now, barrier := elected(HardState{Term: 1})
	c.Persisted(barrier, c.Term(), now)
	c.Step(&Message{Kind: AppendReply, From: idB, To: idA, Term: c.Term(), Index: barrier})
	c.Take()
	return c, now
}

func join(id NodeID) *Message { return &Message{Kind: Join, From: id, To: idA, Empty: true} }

func kinds(messages []Message) map[MessageKind]int {
	out := map[MessageKind]int{}
	for _, m := range messages {
		out[m.Kind]++
	}
	return out
}

// TestVotesWaitForTheDisk checks that a vote, granted or asked for, is not sent
// before it is on disk: after a crash the node could vote again in that term.
func TestVotesWaitForTheDisk(t *testing.T) {
	c := restored(HardState{Term: 1})
	c.Tick(startTime.Add(election))
	c.Step(&Message{Kind: Vote, From: idB, To: idA, Term: 5, Index: 9, LogTerm: 4})
	out := c.Take()
	assert.DeepEqual(t, out.HardState, &HardState{Term: 5, Vote: idB})
	assert.Equal(t, len(out.Immediate), 0)
	assert.Equal(t, kinds(out.AfterSync)[VoteReply], 1)
	assert.Assert(t, !out.AfterSync[0].Reject)

	c = restored(HardState{Term: 1})
	c.Tick(startTime.Add(2 * election))
	c.Step(&Message{Kind: PreVoteReply, From: idB, To: idA, Term: 2})
	out = c.Take()
	assert.Equal(t, kinds(out.Immediate)[Vote], 0)
	assert.Equal(t, kinds(out.AfterSync)[Vote], 2)
}

// TestAcknowledgementsWaitForTheDisk checks that entries are not acknowledged
// before they are on disk: the leader could commit what a crash then loses.
func TestAcknowledgementsWaitForTheDisk(t *testing.T) {
	c := restored(HardState{Term: 1})
	c.Step(&Message{Kind: Append, From: idB, To: idA, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
	out := c.Take()
	assert.Equal(t, len(out.Immediate), 0)
	assert.Equal(t, kinds(out.AfterSync)[AppendReply], 1)
}

// TestVotesNeedAnUpToDateLog also checks that a node grants one vote per term.
func TestVotesNeedAnUpToDateLog(t *testing.T) {
	for _, c := range []struct {
		hard           HardState
		term, logIndex uint64
		logTerm        uint64
		want           bool
	}{
		{HardState{Term: 3}, 4, 3, 3, true},
		{HardState{Term: 3}, 4, 2, 4, true},
		{HardState{Term: 3}, 4, 2, 3, false},
		{HardState{Term: 3}, 4, 9, 2, false},
		{HardState{Term: 4, Vote: idC}, 4, 9, 4, false},
		{HardState{Term: 4, Vote: idB}, 4, 9, 4, true},
	} {
		core := restored(c.hard, 2, 3)
		core.Tick(startTime.Add(election))
		core.Step(&Message{Kind: Vote, From: idB, To: idA, Term: c.term, Index: c.logIndex, LogTerm: c.logTerm})
		assert.Equal(t, !core.Take().AfterSync[0].Reject, c.want, "%+v", c)
	}
}

// TestNoVoteWhileALeaderMayHoldItsLease covers a follower in contact with its
// leader, a restarted node, which may have answered a leader just before, and a
// leader that stepped down, whose own vote supported its lease.
func TestNoVoteWhileALeaderMayHoldItsLease(t *testing.T) {
	follower := restored(HardState{Term: 2})
	follower.Tick(startTime.Add(election))
	follower.Step(&Message{Kind: Heartbeat, From: idC, To: idA, Term: 2})
	formerLeader, at := readyLeader()
	formerLeader.Step(&Message{Kind: AppendReply, From: idB, To: idA, Term: 9, Reject: true})
	for name, c := range map[string]struct {
		core  *Core
		since clock.Instant
	}{
		"heard":     {follower, startTime.Add(election)},
		"restarted": {restored(HardState{Term: 2}), startTime},
		"deposed":   {formerLeader, at},
	} {
		c.core.Take()
		term := c.core.Term()
		c.core.now = c.since.Add(election - 1)
		c.core.Step(&Message{Kind: Vote, From: idB, To: idA, Term: term + 1, Index: 9, LogTerm: 9})
		assert.Equal(t, len(c.core.Take().AfterSync), 0, name)
		c.core.Step(&Message{Kind: PreVote, From: idB, To: idA, Term: term + 1, Index: 9, LogTerm: 9})
		assert.Assert(t, c.core.Take().AfterSync[0].Reject, name)
		assert.Equal(t, c.core.Term(), term, name)
		c.core.now = c.since.Add(election)
		c.core.Step(&Message{Kind: Vote, From: idB, To: idA, Term: term + 1, Index: 9, LogTerm: 9})
		assert.Assert(t, !c.core.Take().AfterSync[0].Reject, name)
	}
}

// TestPartitionedNodeDoesNotDisturb partitions one of three nodes for many
// election timeouts. After its return neither leader nor term may change: a
// pre-vote does not raise the term.
func TestPartitionedNodeDoesNotDisturb(t *testing.T) {
	w := bootstrapped(t, 3, 3)
	leader, m := w.leader(), w.follower()
	term := leader.core.Term()
	for _, other := range w.machines {
		w.faults.blocked[[2]int{other.number, m.number}] = true
		w.faults.blocked[[2]int{m.number, other.number}] = true
	}
	w.advance(20 * election)
	w.checkRecovery()
	assert.Equal(t, w.violation, "")
	assert.Assert(t, w.leader() == leader && leader.core.Term() == term)
}

// TestOnlyOwnTermIsCounted checks that a leader commits entries of earlier terms
// only along with an entry of its own: on a majority of disks alone, they could
// still be replaced by a later leader.
func TestOnlyOwnTermIsCounted(t *testing.T) {
	c, now, barrier := elected(HardState{Term: 3}, 2, 3)
	assert.Equal(t, barrier, uint64(4))
	c.Persisted(3, c.Term(), now)
	c.Step(&Message{Kind: AppendReply, From: idB, To: idA, Term: c.Term(), Index: 3})
	assert.Equal(t, c.CommitIndex(), uint64(1))
	c.Step(&Message{Kind: AppendReply, From: idB, To: idA, Term: c.Term(), Index: 4})
	assert.Equal(t, c.CommitIndex(), uint64(1)) // not on this node's own disk yet
	c.Persisted(4, c.Term(), now)
	assert.Equal(t, c.CommitIndex(), uint64(4))
}

func TestAppendNeedsTheSamePredecessor(t *testing.T) {
	c := restored(HardState{Term: 3}, 2, 3)
	c.Step(&Message{Kind: Append, From: idB, To: idA, Term: 4, Index: 3, LogTerm: 2, Commit: 4, Entries: []Entry{{Index: 4, Term: 4}}})
	out := c.Take()
	assert.Assert(t, out.AfterSync[0].Reject)
	assert.Equal(t, c.LastIndex(), uint64(3))
	assert.Equal(t, c.CommitIndex(), uint64(1))
}

// TestLeaseExpiry checks that the lease counts from the sending of the heartbeat,
// less the drift margin, and that a leader without a majority steps down.
func TestLeaseExpiry(t *testing.T) {
	c, now, barrier := elected(HardState{Term: 1})
	assert.Equal(t, c.LeaseUntil(), clock.Instant(0), "lease without an entry of its term")
	c.Persisted(barrier, c.Term(), now)
	c.Step(&Message{Kind: AppendReply, From: idB, To: idA, Term: c.Term(), Index: barrier})
	assert.Equal(t, c.LeaseUntil(), now.Add(election-driftMargin))
	sent := now.Add(heartbeat)
	c.Tick(sent)
	c.Tick(sent.Add(heartbeat / 2))
	c.Step(&Message{Kind: HeartbeatReply, From: idB, To: idA, Term: c.Term(), Sent: sent})
	assert.Equal(t, c.LeaseUntil(), sent.Add(election-driftMargin))
	c.Tick(sent.Add(2 * election))
	assert.Equal(t, c.Role(), Leader)
	c.Tick(sent.Add(2*election + 1))
	assert.Equal(t, c.Role(), Follower, "still leader without a majority")
}

// TestTransferReleasesTheLeaseFirst checks that the successor is asked to campaign
// only after the lease is released, and that the leader steps down if none takes
// over.
func TestTransferReleasesTheLeaseFirst(t *testing.T) {
	c, now := readyLeader()
	c.TransferLeadership()
	assert.Equal(t, c.LeaseUntil(), clock.Instant(0))
	assert.Equal(t, kinds(c.Take().Immediate)[TimeoutNow], 0)
	c.LeaseReleased()
	assert.Equal(t, kinds(c.Take().Immediate)[TimeoutNow], 1)
	_, _, err := c.Propose(nil)
	assert.ErrorIs(t, err, ErrNotLeader)
	for at := now; at <= now.Add(election+heartbeat); at += clock.Instant(heartbeat) {
		c.Tick(at)
		c.Step(&Message{Kind: HeartbeatReply, From: idB, To: idA, Term: c.Term(), Sent: at})
	}
	assert.Equal(t, c.Role(), Follower, "failed transfer")
}

// TestOneMembershipChangeAtATime checks that a change waits for the barrier and for
// the change before it: majorities of two open changes need not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c, now, barrier := elected(HardState{Term: 1})
	c.now = now.Add(election) // node c does not respond
	c.Step(join(idNew))
	assert.Equal(t, c.LastIndex(), barrier, "change before the term's first entry is committed")
	c.Persisted(barrier, c.Term(), c.now)
	c.Step(&Message{Kind: AppendReply, From: idB, To: idA, Term: c.Term(), Index: barrier})
	assert.DeepEqual(t, c.Membership().Learners, []NodeID{idNew})
	changed := c.LastIndex()
	c.Step(join(NodeID{"b", "2"}))
	c.Step(join(idNew))
	assert.Equal(t, c.LastIndex(), changed, "second change before the first is committed")
}

// TestLearnerIsPromotedLast checks each change of a replacement: the learner is
// added only when the voter of its name does not respond, the voter is removed
// only when the learner has caught up, and the learner is promoted last.
func TestLearnerIsPromotedLast(t *testing.T) {
	c, now := readyLeader()
	reply := func(kind MessageKind, from NodeID) {
		c.Persisted(c.LastIndex(), c.Term(), now)
		c.Step(&Message{Kind: kind, From: from, To: idA, Term: c.Term(), Index: c.LastIndex(), Sent: now})
	}
	c.Step(&Message{Kind: HeartbeatReply, From: idC, To: idA, Term: c.Term(), Sent: now})
	c.Step(join(idNew))
	assert.Equal(t, len(c.Membership().Learners), 0, "the voter of that name responds")
	now = now.Add(election)
	c.Tick(now)
	reply(HeartbeatReply, idB)
	c.Step(join(idNew))
	assert.DeepEqual(t, c.Membership(), threeVoters.WithLearner(idNew))
	reply(AppendReply, idB)
	reply(HeartbeatReply, idNew)
	c.maintainMembership()
	assert.DeepEqual(t, c.Membership(), threeVoters.WithLearner(idNew)) // the learner has not caught up
	c.progress[idC].ackedSentAt = now
	reply(AppendReply, idNew)
	c.maintainMembership()
	assert.DeepEqual(t, c.Membership(), threeVoters.WithLearner(idNew)) // the voter responds again
	c.progress[idC].ackedSentAt = 0
	c.maintainMembership()
	assert.DeepEqual(t, c.Membership(), threeVoters.WithLearner(idNew).Without(idC))
	reply(AppendReply, idB)
	reply(AppendReply, idNew)
	c.maintainMembership()
	assert.DeepEqual(t, c.Membership().Voters, []NodeID{idA, idB, idNew})
}

// TestBootstrapTermIsNew checks that a first membership gets a term above the
// terms of all peers, and that an empty node ignores a snapshot from a disk that
// has been replaced.
func TestBootstrapTermIsNew(t *testing.T) {
	c := New(Config{ID: idA, Peers: []string{"a", "b", "c"}, HeartbeatInterval: heartbeat, ElectionTimeout: election}, &Stored{}, startTime)
	old := Snapshot{Index: 1, Term: 1, Membership: threeVoters}
	c.Tick(startTime)
	for _, id := range []NodeID{idNew, idB} {
		c.Step(&Message{Kind: Join, From: id, To: idA, Empty: true, Term: 6})
		c.Step(&Message{Kind: InstallSnapshot, From: idC, To: idA, Term: 7, Snapshot: &old})
		c.Take()
	}
	assert.Equal(t, c.LastIndex(), uint64(0))
	c.Tick(c.Deadline())
	out := c.Take()
	assert.Equal(t, out.Snapshot.Term, uint64(7))
	assert.Equal(t, out.HardState.Term, uint64(7))
}

// TestLargeSnapshotIsSentOnce checks that a snapshot of 4 MiB is not sent again
// before its transfer time has passed.
func TestLargeSnapshotIsSentOnce(t *testing.T) {
	c, now := readyLeader()
	_, ok := c.Compact(c.CommitIndex(), make([]byte, 4*minTransferRate))
	assert.Assert(t, ok)
	now = now.Add(election)
	c.Tick(now) // node c never answered, so it is sent the snapshot
	sent := 0
	for end := now.Add(3 * time.Second); now < end; now = now.Add(heartbeat) {
		c.Tick(now)
		c.Step(&Message{Kind: HeartbeatReply, From: idB, To: idA, Term: c.Term(), Sent: now})
		sent += kinds(c.Take().Immediate)[InstallSnapshot]
	}
	assert.Equal(t, sent, 1)
	for end := now.Add(3 * time.Second); now < end; now = now.Add(heartbeat) {
		c.Tick(now)
		c.Step(&Message{Kind: HeartbeatReply, From: idB, To: idA, Term: c.Term(), Sent: now})
		sent += kinds(c.Take().Immediate)[InstallSnapshot]
	}
	assert.Equal(t, sent, 2)
}

// TestSnapshotKeepsLaterEntries checks that entries after a snapshot stay if the
// log holds the snapshot's last entry, and that the whole log is replaced if not.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	for _, c := range []struct{ index, term, last, commit uint64 }{{2, 2, 3, 2}, {2, 4, 2, 2}, {9, 4, 9, 9}, {1, 1, 3, 1}} {
		core := restored(HardState{Term: 4}, 2, 3)
		core.Step(&Message{Kind: InstallSnapshot, From: idB, To: idA, Term: 4, Snapshot: &Snapshot{Index: c.index, Term: c.term, Membership: threeVoters}})
		assert.Equal(t, core.LastIndex(), c.last, "%+v", c)
		assert.Equal(t, core.CommitIndex(), c.commit, "%+v", c)
		assert.Equal(t, core.Take().AfterSync[0].Index, c.commit)
	}
}

// TestRemovedNodeAnnouncesItself also checks that a node in contact with a leader
// does not announce itself.
func TestRemovedNodeAnnouncesItself(t *testing.T) {
	c := restored(HardState{Term: 2})
	now := startTime.Add(election)
	c.Tick(now)
	c.Step(&Message{Kind: Heartbeat, From: idB, To: idA, Term: 2})
	c.Tick(now.Add(2*election - 1))
	assert.Equal(t, kinds(c.Take().Immediate)[Join], 0)
	assert.Assert(t, c.Deadline() <= now.Add(2*election))
	c.Tick(now.Add(2 * election))
	assert.Equal(t, kinds(c.Take().Immediate)[Join], 2)
}
