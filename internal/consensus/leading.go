package consensus

import (
	"slices"
	"time"

	"endivespring/internal/clock"
)

const (
	retryIntervals  = 4       // heartbeat intervals until a message without a reply is sent again
	minTransferRate = 1 << 20 // bytes a second at which a snapshot may travel
)

// transferTime returns how long a snapshot may be on its way.
func transferTime(s *Snapshot) clock.Instant {
	return clock.Instant(len(s.Data)) * clock.Instant(time.Second) / minTransferRate
}

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

// syncProgress makes the progress table follow the membership.
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

func (c *Core) tickLeader() {
	alone := c.now > c.quorumContact()+2*clock.Instant(c.config.ElectionTimeout)
	failedTransfer := c.transferring && c.now > c.transferAt+clock.Instant(c.config.ElectionTimeout)
	if alone || failedTransfer {
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

// quorumContact returns the latest instant at which a heartbeat was sent that
// a majority has answered.
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

// LeaseUntil returns the instant until which no other node can lead, or zero
// if this node does not lead or has not committed an entry of its term.
func (c *Core) LeaseUntil() clock.Instant {
	if c.role != Leader || c.transferring || c.log.committed < c.barrierIndex {
		return 0
	}
	return c.quorumContact() + clock.Instant(c.config.ElectionTimeout-c.config.DriftMargin)
}

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

// replicate sends the next entries to a node that has none pending.
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

func (c *Core) stepHeartbeatReply(m *Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, min(m.Sent, c.now))
	c.replicate(m.From)
}

// advanceCommit commits what a majority of disks holds. Only entries of the
// leader's own term are counted.
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
	index := match[len(match)-min(len(match), max(c.membership.Quorum(), c.config.Copies))]
	if term, ok := c.log.term(index); !ok || term != c.hardState.Term {
		return
	}
	if index <= c.log.committed {
		return
	}
	c.commitTo(index)
	c.afterCommit()
}

// Transfer begins to hand leadership over, for a graceful stop: the lease ends.
// The caller calls LeaseReleased once nobody acts on it any more.
func (c *Core) Transfer() {
	if c.role != Leader || c.transferring {
		return
	}
	if best := c.transferTarget(); c.progress[best] == nil || c.progress[best].match < c.log.lastIndex() {
		return
	}
	c.transferring = true
	c.transferAt = c.now
}

// Transferring reports whether a lease was given up and LeaseReleased is due.
func (c *Core) Transferring() bool { return c.role == Leader && c.transferring }

// LeaseReleased asks the successor to campaign at once. The leader never takes
// its lease back in this term, since the request may arrive late.
func (c *Core) LeaseReleased() {
	if c.Transferring() {
		c.send(Message{Kind: TimeoutNow, To: c.transferTarget()})
	}
}

// transferTarget returns the most advanced other voter, or the zero identity.
func (c *Core) transferTarget() NodeID {
	var best NodeID
	for _, id := range c.membership.Voters {
		if id != c.config.ID && (best.IsZero() || c.progress[id].match > c.progress[best].match) {
			best = id
		}
	}
	return best
}
