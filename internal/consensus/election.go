package consensus

import "endivespring/internal/clock"

// campaign starts a pre-vote as PreCandidate or an election as Candidate. The
// requests wait until the hard state is on disk.
func (c *Core) campaign(role Role) {
	c.resetElection()
	if !c.membership.IsVoter(c.config.ID) {
		return
	}
	c.role = role
	c.leader = NodeID{}
	c.votes = map[NodeID]bool{c.config.ID: true}
	kind, term := PreVote, c.hardState.Term+1
	if role == Candidate {
		c.hardState = HardState{Term: c.hardState.Term + 1, Vote: c.config.ID}
		kind, term = Vote, c.hardState.Term
	}
	for _, id := range c.membership.Voters {
		if id == c.config.ID {
			continue
		}
		c.sendAfterSync(Message{Kind: kind, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm()})
	}
	c.countVotes()
}

// leaderMayHoldLease reports whether a leader, possibly this node, may still
// hold a lease whose quorum includes this node.
func (c *Core) leaderMayHoldLease() bool {
	if c.role == Leader {
		return true
	}
	return c.now < c.lastContact+clock.Instant(c.config.ElectionTimeout)
}

// upToDate reports whether the candidate's log is at least as up to date as
// this node's: voting for another one could lose committed entries.
func (c *Core) upToDate(m *Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.lastIndex())
}

// stepPreVote answers whether this node would vote for the sender now. It
// changes neither the term nor the vote. A rejection carries the current term,
// so that a sender that is behind adopts it.
func (c *Core) stepPreVote(m *Message) {
	grant := m.Term > c.hardState.Term && c.upToDate(m) && !c.leaderMayHoldLease()
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = c.hardState.Term
	}
	c.sendAfterSync(reply)
}

// stepVote grants at most one vote per term. It ignores requests while a leader
// may hold its lease, unless that leader released the lease in a transfer. The
// reply waits until the vote is on disk.
func (c *Core) stepVote(m *Message) {
	if c.leaderMayHoldLease() && !m.Transfer {
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, NodeID{})
	}
	mayVote := c.hardState.Vote.IsZero() || c.hardState.Vote == m.From
	grant := m.Term == c.hardState.Term && mayVote && c.upToDate(m)
	if grant {
		c.hardState.Vote = m.From
		c.resetElection()
	}
	c.sendAfterSync(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

// stepVoteReply counts a vote or pre-vote of the campaign that is in progress;
// late replies are ignored.
func (c *Core) stepVoteReply(m *Message) {
	expected := (c.role == PreCandidate && m.Kind == PreVoteReply && m.Term == c.hardState.Term+1) ||
		(c.role == Candidate && m.Kind == VoteReply && m.Term == c.hardState.Term)
	if !expected || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// countVotes starts the election, or becomes leader, once a majority of the
// voters has granted its vote.
func (c *Core) countVotes() {
	granted := 0
	for _, id := range c.membership.Voters {
		if c.votes[id] {
			granted++
		}
	}
	if granted < c.membership.Quorum() {
		return
	}
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return
	}
	c.becomeLeader()
}
