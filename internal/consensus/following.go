package consensus

// Step takes a message from another node.
func (c *Core) Step(m *Message) {
	c.recordSender(m)
	if m.To != c.config.ID && m.Kind != Join || c.fromReplacedDisk(m) {
		return
	}
	switch m.Kind {
	case Join:
		c.stepJoin(m)
	case Contacts:
		c.stepContacts(m)
	case PreVote:
		c.stepPreVote(m)
	case Vote:
		c.stepVote(m)
	case PreVoteReply:
		c.stepPreVoteReply(m)
	default:
		c.stepInTerm(m)
	}
}

// fromReplacedDisk reports whether the message would give an empty node its
// first log but comes from a disk that was lost: a later one has announced
// itself and may count on this node's log being empty.
func (c *Core) fromReplacedDisk(m *Message) bool {
	j, ok := c.joiners[m.From.Name]
	return ok && c.isEmpty() && m.Kind == InstallSnapshot && j.id != m.From && c.recent(j, 4)
}

func (c *Core) stepPreVoteReply(m *Message) {
	if m.Reject && m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, NodeID{})
		return
	}
	c.stepVoteReply(m)
}

func (c *Core) stepInTerm(m *Message) {
	if m.Term < c.hardState.Term {
		c.stepOldTerm(m)
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, NodeID{})
	}
	switch m.Kind {
	case VoteReply:
		c.stepVoteReply(m)
	case Append:
		c.followLeader(m)
		c.stepAppend(m)
	case AppendReply:
		c.stepAppendReply(m)
	case Heartbeat:
		c.followLeader(m)
		c.commitTo(m.Commit)
		c.send(Message{Kind: HeartbeatReply, To: m.From, Sent: m.Sent})
	case HeartbeatReply:
		c.stepHeartbeatReply(m)
	case InstallSnapshot:
		c.followLeader(m)
		c.stepSnapshot(m)
	case TimeoutNow:
		c.stepTimeoutNow()
	default:
	}
}

// stepOldTerm tells a leader of an older term that it is deposed.
func (c *Core) stepOldTerm(m *Message) {
	if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot {
		c.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, Index: c.log.lastIndex()})
	}
}

func (c *Core) followLeader(m *Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastContact = c.now
	c.resetElection()
}

func (c *Core) stepAppend(m *Message) {
	term, ok := c.log.term(m.Index)
	compacted := m.Index < c.log.snapshot.Index
	if !compacted && (!ok || term != m.LogTerm) {
		hint := min(c.log.lastIndex(), m.Index-1)
		c.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, Index: max(hint, c.log.committed)})
		return
	}
	if fresh := c.log.conflict(m.Entries); len(fresh) > 0 {
		c.log.append(fresh)
		c.output.Entries = append(c.output.Entries, fresh...)
		c.adoptMembership()
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: max(last, c.log.snapshot.Index)})
}

// stepSnapshot takes a snapshot that is ahead of what is committed here. A log
// that already holds the snapshot's last entry keeps what follows it: those
// entries may have been acknowledged.
func (c *Core) stepSnapshot(m *Message) {
	s := *m.Snapshot
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		c.commitTo(s.Index)
	} else if s.Index > c.log.committed {
		c.log.restore(s)
		c.output.Entries = nil
		c.output.Committed = nil
		c.output.Snapshot = &s
		c.adoptMembership()
	}
	c.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: c.log.committed})
}

// stepTimeoutNow campaigns without a pre-vote because the leader asked for it.
func (c *Core) stepTimeoutNow() {
	if !c.membership.IsVoter(c.config.ID) {
		return
	}
	before := len(c.output.AfterSync)
	c.campaign(Candidate)
	for i := before; i < len(c.output.AfterSync); i++ {
		if c.output.AfterSync[i].Kind == Vote {
			c.output.AfterSync[i].Transfer = true
		}
	}
}
