package consensus

import (
	"slices"

	"endivespring/internal/clock"
)

const (
	joinIntervalFactor = 2 // heartbeat intervals between two announcements
	// lostVoterTimeouts is the time without a heartbeat reply, in election
	// timeouts, after which a voter of an open group may be replaced. A
	// restarting voter answers sooner.
	lostVoterTimeouts = 4
)

// mustAnnounce reports whether the node has to announce itself with Join: it
// knows no membership, or no leader has contacted it for two election timeouts,
// possibly because it is no longer a member.
func (c *Core) mustAnnounce() bool {
	return len(c.membership.Voters) == 0 || c.role != Leader && c.now >= c.announceAt()
}

func (c *Core) announceAt() clock.Instant {
	return c.lastContact + 2*clock.Instant(c.config.ElectionTimeout)
}

// tickJoin sends Join to all known nodes once per join interval and forms the
// first membership if that falls to this node.
func (c *Core) tickJoin() {
	if c.now < c.joinAt {
		return
	}
	c.joinAt = c.now + joinIntervalFactor*clock.Instant(c.config.HeartbeatInterval)
	for _, name := range c.joinTargets() {
		if name != c.config.ID.Name {
			c.send(Message{Kind: Join, To: NodeID{Name: name, Disk: c.joiners[name].id.Disk}, Empty: c.isEmpty()})
		}
	}
	c.maybeBootstrap()
}

func (c *Core) isEmpty() bool { return c.log.lastIndex() == 0 }

// recent reports whether the Join arrived within the given number of join
// intervals.
func (c *Core) recent(j joiner, intervals clock.Instant) bool {
	return j.receivedAt+intervals*joinIntervalFactor*clock.Instant(c.config.HeartbeatInterval) > c.now
}

// maybeBootstrap forms the first membership at the peer with the lowest name.
// Every peer must have reported an empty log in a recent Join addressed to this
// disk: then no majority of an earlier membership, formed on a disk that this
// node has lost, can hold an entry. The term is higher than any in use, so that
// the first entries of the two memberships differ.
func (c *Core) maybeBootstrap() {
	names := slices.Sorted(slices.Values(c.config.Peers))
	if c.config.JoinsOnly || !c.isEmpty() || len(names) == 0 || names[0] != c.config.ID.Name {
		return
	}
	term := c.hardState.Term
	m := Membership{Voters: []NodeID{c.config.ID}}
	for _, name := range names[1:] {
		j, ok := c.joiners[name]
		if !ok || !j.empty || j.addressee != c.config.ID || !c.recent(j, 2) {
			return
		}
		m.Voters = append(m.Voters, j.id)
		term = max(term, j.term)
	}
	s := Snapshot{Index: 1, Term: term + 1, Membership: m}
	c.hardState = HardState{Term: term + 1}
	c.log.restore(s)
	c.output.Snapshot = &s
	c.adoptMembership()
	// No leader can hold a lease yet, so the campaign need not wait.
	c.lastContact = c.now - 2*clock.Instant(c.config.ElectionTimeout)
	c.campaign(PreCandidate)
}

// stepJoin records an announcement. A leader may add the sender to the
// membership; any member of an open group answers with the members it knows.
func (c *Core) stepJoin(m *Message) {
	c.joiners[m.From.Name] = joiner{id: m.From, empty: m.Empty, term: m.Term, addressee: m.To, receivedAt: c.now}
	if c.role == Leader {
		c.maintainMembership()
	}
	if c.config.Open && len(c.membership.Voters) > 0 && m.From != c.config.ID {
		known := c.membership
		c.send(Message{Kind: Contacts, To: m.From, Entries: []Entry{{Kind: EntryMembership, Membership: &known}}})
	}
}

// stepContacts records the names of the members that another node knows.
func (c *Core) stepContacts(m *Message) {
	for _, entry := range m.Entries {
		if entry.Membership == nil {
			continue
		}
		for _, id := range entry.Membership.Nodes() {
			c.contacts[id.Name] = true
		}
	}
}

// recordSender records the sender as a contact in an open group. That includes
// a leader that still sends to a disk which this node has lost: an empty node
// without a reachable seed finds the group that way.
func (c *Core) recordSender(m *Message) {
	if c.config.Open && m.From.Name != "" {
		c.contacts[m.From.Name] = true
	}
}

// AddContacts records names of nodes that may know the membership. It has no effect
// in a closed group.
func (c *Core) AddContacts(names []string) {
	for _, name := range names {
		c.contacts[name] = c.config.Open
	}
}

// joinTargets returns the sorted names of all nodes that may know the
// membership: peers, contacts and members.
func (c *Core) joinTargets() []string {
	names := slices.Clone(c.config.Peers)
	for name, usable := range c.contacts {
		if usable {
			names = append(names, name)
		}
	}
	for _, id := range c.membership.Nodes() {
		names = append(names, id.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// adoptMembership puts the latest membership in the log into effect, committed
// or not.
func (c *Core) adoptMembership() {
	c.membership, c.membershipIndex = c.log.membership()
	if c.role == Leader {
		c.syncProgress()
	}
}

// maintainMembership appends the next membership change that is due. A node
// whose disk was lost is replaced in three changes: its new identity is added
// as a learner; once that has caught up, the old identity is removed; then the
// learner is promoted to voter. The old one is removed first, since a majority
// that counts both would need the new disk, which may be lost as well. A change
// starts only after the one before it and the leader's barrier are committed.
func (c *Core) maintainMembership() {
	if c.role != Leader || c.log.committed < c.barrierIndex || c.membershipIndex > c.log.committed {
		return
	}
	if next, ok := c.nextMembership(); ok {
		c.appendEntry(Entry{Kind: EntryMembership, Membership: &next})
	}
}

// nextMembership returns the membership after the next change, or false if none
// is due: a lost learner is removed, a learner is moved towards its vote, or a
// node that announced itself is added as a learner.
func (c *Core) nextMembership() (Membership, bool) {
	for _, id := range c.membership.Learners {
		if c.staleLearner(id) {
			return c.membership.Without(id), true
		}
		if next, ok := c.promotion(id); ok {
			return next, true
		}
	}
	for _, name := range c.eligibleNames() {
		j, ok := c.joiners[name]
		if ok && c.recent(j, 4) && !c.membership.Contains(j.id) && !c.hasLiveMember(name) {
			return c.membership.WithLearner(j.id), true
		}
	}
	return Membership{}, false
}

// promotion returns the next change towards the vote of a learner that has
// caught up and responds: first the removal of the voter of the same name or, in
// a full open group, of a lost voter; then its promotion. It returns false while
// the voter of that name still responds, or no voter of a full group is lost.
func (c *Core) promotion(learner NodeID) (Membership, bool) {
	if c.progress[learner].match < c.log.committed || c.unresponsive(learner) {
		return Membership{}, false
	}
	for _, id := range c.membership.Voters {
		if id.Name == learner.Name {
			return c.membership.Without(id), id != c.config.ID && c.unresponsive(id)
		}
	}
	if c.config.Open && len(c.membership.Voters) >= c.config.Voters {
		return c.withoutLostVoter()
	}
	return c.membership.WithVoter(learner), true
}

// withoutLostVoter returns the membership without the voter that has not
// responded for longest, and whether that is long enough to count as lost.
func (c *Core) withoutLostVoter() (Membership, bool) {
	var oldest NodeID
	for _, id := range c.membership.Voters {
		if id != c.config.ID && (oldest.IsZero() || c.progress[id].ackedSentAt < c.progress[oldest].ackedSentAt) {
			oldest = id
		}
	}
	if oldest.IsZero() {
		return Membership{}, false
	}
	return c.membership.Without(oldest), c.now >= c.progress[oldest].ackedSentAt+lostVoterTimeouts*clock.Instant(c.config.ElectionTimeout)
}

// eligibleNames returns the names of the nodes that may become members, in a
// fixed order.
func (c *Core) eligibleNames() []string {
	if !c.config.Open {
		return c.config.Peers
	}
	names := make([]string, 0, len(c.joiners))
	for name := range c.joiners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// unresponsive reports whether the node has answered no heartbeat that was sent
// within the last election timeout.
func (c *Core) unresponsive(id NodeID) bool {
	return c.now >= c.progress[id].ackedSentAt+clock.Instant(c.config.ElectionTimeout)
}

// hasLiveMember reports whether a member of this name responds. A Join from
// another identity of that name is then a delayed message from an old disk.
func (c *Core) hasLiveMember(name string) bool {
	return slices.ContainsFunc(c.membership.Nodes(), func(id NodeID) bool {
		return id.Name == name && (id == c.config.ID || !c.unresponsive(id))
	})
}

// staleLearner reports whether the learner is lost: its disk was replaced again,
// or it has not responded for longer than a snapshot transfer may delay its
// replies. It announces itself again when it returns.
func (c *Core) staleLearner(id NodeID) bool {
	j, ok := c.joiners[id.Name]
	if ok && j.id != id && c.recent(j, 4) {
		return c.unresponsive(id)
	}
	const staleLearnerTimeouts = 10 // election timeouts
	return c.now >= c.progress[id].ackedSentAt+staleLearnerTimeouts*clock.Instant(c.config.ElectionTimeout)+transferTime(&c.log.snapshot)
}

// afterCommit steps down if the removal of this node is committed, and
// otherwise starts the next membership change that is due.
func (c *Core) afterCommit() {
	if !c.membership.Contains(c.config.ID) && c.membershipIndex <= c.log.committed {
		c.becomeFollower(c.hardState.Term, NodeID{})
		return
	}
	c.maintainMembership()
}
