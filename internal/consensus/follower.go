package consensus

// Step handles a message from another node. A message to another disk of this
// node, such as one that it has lost, is ignored unless it is a Join. So is the
// first snapshot for an empty node if it comes from a replaced disk.
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

// fromReplacedDisk reports whether the message is a snapshot that would become
// this empty node's first log but was sent from a disk that has been replaced:
// the new disk has announced itself and may rely on this node's log being
// empty.
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

// stepOldTerm sends the current term to a leader of an older term, so that it
// steps down.
func (c *Core) stepOldTerm(m *Message) {
	if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot {
		c.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, Index: c.log.lastIndex()})
	}
}

// followLeader records contact to the leader of the current term.
func (c *Core) followLeader(m *Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastContact = c.now
	c.resetElection()
}

// stepAppend appends entries if the log holds their predecessor (log matching),
// and acknowledges them once they are on disk. A rejection carries the last
// index at which the logs may match.
func (c *Core) stepAppend(m *Message) {
	term, ok := c.log.term(m.Index)
	compacted := m.Index < c.log.snapshot.Index
	if !compacted && (!ok || term != m.LogTerm) {
		hint := min(c.log.lastIndex(), m.Index-1)
		c.sendAfterSync(Message{Kind: AppendReply, To: m.From, Reject: true, Index: max(hint, c.log.committed)})
		return
	}
	if missing := c.log.conflict(m.Entries); len(missing) > 0 {
		c.log.append(missing)
		c.output.Entries = append(c.output.Entries, missing...)
		c.adoptMembership()
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: max(last, c.log.snapshot.Index)})
}

// stepSnapshot installs a snapshot that is ahead of the commit index. A log that
// already holds the snapshot's last entry keeps the entries after it: they may
// have been acknowledged.
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

// stepTimeoutNow campaigns without a pre-vote. The requests say that the leader
// released its lease, so that voters need not wait for its expiry.
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
