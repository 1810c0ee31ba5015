package consensus

import (
	"slices"
	"time"

	"endivespring/internal/clock"
)

const (
	retryIntervals  = 4       // heartbeat intervals until an unanswered message is sent again
	minTransferRate = 1 << 20 // bytes per second; a slower snapshot transfer counts as lost
)

// transferTime returns how long the transfer of a snapshot may take.
func transferTime(s *Snapshot) clock.Instant {
	return clock.Instant(len(s.Data)) * clock.Instant(time.Second) / minTransferRate
}

// becomeLeader starts a term of leadership with its barrier. Entries count as
// being on this node's disk only once Persisted reports them in this term.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.config.ID
	c.votes = nil
	c.progress = map[NodeID]*progress{}
	c.selfMatch = 0
	c.syncProgress()
	c.barrierIndex = c.appendEntry(Entry{Kind: EntryBarrier})
	c.heartbeatAt = c.now
	c.tickLeader()
}

// syncProgress adds and removes records of progress as the membership changes.
// A new record counts as in contact now.
func (c *Core) syncProgress() {
	for _, id := range c.membership.Nodes() {
		if id != c.config.ID && c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, ackedSentAt: c.now}
		}
	}
	for id := range c.progress {
		if !c.membership.Contains(id) {
			delete(c.progress, id)
		}
	}
}

// tickLeader steps down if a majority has not been in contact for two election
// timeouts (check-quorum), or if a transfer of leadership has not succeeded
// within one. Otherwise it sends heartbeats and repeats messages that got no
// reply in time.
func (c *Core) tickLeader() {
	lostQuorum := c.now > c.quorumContact()+2*clock.Instant(c.config.ElectionTimeout)
	failedTransfer := c.transferring && c.now > c.transferAt+clock.Instant(c.config.ElectionTimeout)
	if lostQuorum || failedTransfer {
		c.becomeFollower(c.hardState.Term, NodeID{})
		return
	}
	if c.now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = c.now + clock.Instant(c.config.HeartbeatInterval)
	for _, id := range c.membership.Nodes() {
		if id == c.config.ID {
			continue
		}
		p := c.progress[id]
		c.send(Message{Kind: Heartbeat, To: id, Commit: min(p.match, c.log.committed), Sent: c.now})
		if p.pending && c.now > p.retryAt {
			p.pending = false
			p.next = p.match + 1
		}
		c.replicate(id)
	}
	c.maintainMembership()
}

// quorumContact returns the latest instant such that a majority has answered a
// heartbeat sent then or later. This node counts as in contact now.
func (c *Core) quorumContact() clock.Instant {
	var sent []clock.Instant
	for _, id := range c.membership.Voters {
		if id == c.config.ID {
			sent = append(sent, c.now)
			continue
		}
		sent = append(sent, c.progress[id].ackedSentAt)
	}
	slices.Sort(sent)
	slices.Reverse(sent)
	if len(sent) < c.membership.Quorum() {
		return 0
	}
	return sent[c.membership.Quorum()-1]
}

// LeaseUntil returns the expiry of the leader's lease: no other node can become
// leader before it. The lease counts from the sending of the heartbeats that a
// majority answered, less the drift margin. It is zero if this node is not the
// leader, is transferring leadership or has not committed its barrier yet.
func (c *Core) LeaseUntil() clock.Instant {
	if c.role != Leader || c.transferring || c.log.committed < c.barrierIndex {
		return 0
	}
	return c.quorumContact() + clock.Instant(c.config.ElectionTimeout-c.config.DriftMargin)
}

// appendEntry appends an entry in the leader's term, starts its replication and
// returns its index.
func (c *Core) appendEntry(entry Entry) uint64 {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.hardState.Term
	c.log.append([]Entry{entry})
	c.output.Entries = append(c.output.Entries, entry)
	if entry.Membership != nil {
		c.adoptMembership()
	}
	for _, id := range c.membership.Nodes() {
		if id != c.config.ID {
			c.replicate(id)
		}
	}
	return entry.Index
}

// replicate sends the next entries, or the snapshot if they are compacted, to a
// node without a pending message.
func (c *Core) replicate(id NodeID) {
	p := c.progress[id]
	if p.pending || p.next > c.log.lastIndex() && p.match >= c.log.lastIndex() {
		return
	}
	p.pending, p.retryAt = true, c.now+retryIntervals*clock.Instant(c.config.HeartbeatInterval)
	previous, ok := c.log.term(p.next - 1)
	if !ok {
		snapshot := c.log.snapshot
		p.retryAt += transferTime(&snapshot)
		c.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &snapshot, Commit: c.log.committed})
		return
	}
	entries := c.log.slice(p.next, c.config.MaxBatch)
	c.send(Message{
		Kind: Append, To: id, Index: p.next - 1, LogTerm: previous,
		Entries: slices.Clone(entries), Commit: c.log.committed,
	})
}

// stepAppendReply records what the node has on its disk, or goes back in the log
// after a rejection, and sends the next entries.
func (c *Core) stepAppendReply(m *Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.pending = false
	if m.Reject {
		p.next = max(p.match+1, min(m.Index+1, p.next-1))
	} else if m.Index >= p.match {
		p.match = m.Index
		p.next = m.Index + 1
		c.advanceCommit()
	}
	if c.role == Leader && c.progress[m.From] != nil {
		c.replicate(m.From)
	}
}

// stepHeartbeatReply extends the contact to a node, which counts from the sending
// of the heartbeat and not from the arrival of the reply.
func (c *Core) stepHeartbeatReply(m *Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, min(m.Sent, c.now))
	c.replicate(m.From)
}

// advanceCommit commits the entries that are on the disks of a majority of the
// voters and of at least MinCopies of them, or of all if there are fewer. Only
// entries of the leader's own term are counted; earlier ones are committed along
// with them.
func (c *Core) advanceCommit() {
	var match []uint64
	for _, id := range c.membership.Voters {
		if id == c.config.ID {
			match = append(match, c.selfMatch)
			continue
		}
		match = append(match, c.progress[id].match)
	}
	slices.Sort(match)
	index := match[len(match)-min(len(match), max(c.membership.Quorum(), c.config.MinCopies))]
	if term, ok := c.log.term(index); !ok || term != c.hardState.Term {
		return
	}
	if index <= c.log.committed {
		return
	}
	c.commitTo(index)
	c.afterCommit()
}

// TransferLeadership starts to hand over leadership to another voter, for a graceful stop:
// from now on this node holds no lease and accepts no proposals. The caller must
// call LeaseReleased once nothing acts on the lease any more. It has no effect
// unless another voter has the leader's whole log.
func (c *Core) TransferLeadership() {
	if c.role != Leader || c.transferring {
		return
	}
	if best := c.transferTarget(); c.progress[best] == nil || c.progress[best].match < c.log.lastIndex() {
		return
	}
	c.transferring = true
	c.transferAt = c.now
}

// Transferring reports whether a transfer has ended the leader's lease and
// LeaseReleased is due.
func (c *Core) Transferring() bool { return c.role == Leader && c.transferring }

// LeaseReleased asks the transfer target to campaign at once. The leader does
// not resume its lease in this term, since the request may arrive late.
func (c *Core) LeaseReleased() {
	if c.Transferring() {
		c.send(Message{Kind: TimeoutNow, To: c.transferTarget()})
	}
}

// transferTarget returns the other voter that holds most of the log, or the zero
// NodeID.
func (c *Core) transferTarget() NodeID {
	var best NodeID
	for _, id := range c.membership.Voters {
		if id != c.config.ID && (best.IsZero() || c.progress[id].match > c.progress[best].match) {
			best = id
		}
	}
	return best
}
