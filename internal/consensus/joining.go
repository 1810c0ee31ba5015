package consensus

import (
	"slices"

	"endivespring/internal/clock"
)

const (
	joinIntervalFactor = 2 // join interval in heartbeat intervals
	// lostVoterTimeouts is the silence, in election timeouts, after which another
	// node may take a voter's place. A voter that restarts is back before.
	lostVoterTimeouts = 4
)

// mustAnnounce reports whether the node has to make itself known: it knows no
// membership, or no leader has sent to it for long, perhaps since the
// membership does not list it.
func (c *Core) mustAnnounce() bool {
	return len(c.membership.Voters) == 0 || c.role != Leader && c.now >= c.announceAt()
}

func (c *Core) announceAt() clock.Instant {
	return c.lastContact + 2*clock.Instant(c.config.ElectionTimeout)
}

// tickJoin announces the node. The one with the lowest name forms the first
// membership once every peer says that its log is empty.
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

// recent reports whether the joiner announced itself within some intervals.
func (c *Core) recent(j joiner, intervals clock.Instant) bool {
	return j.receivedAt+intervals*joinIntervalFactor*clock.Instant(c.config.HeartbeatInterval) > c.now
}

// maybeBootstrap forms the first membership. Every peer must have said, in
// answer to this very disk, that its log is empty: then no majority of an
// earlier membership, whose first disk was lost, can hold an entry. The term
// is above every one in use, so that the first entries of both differ.
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
	c.lastContact = c.now - 2*clock.Instant(c.config.ElectionTimeout)
	c.campaign(PreCandidate)
}

// stepJoin remembers a node that announced itself; a leader adds it.
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

// stepContacts takes the members that another node knows.
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

// recordSender remembers who sends to this node, in an open group: also a leader that
// addresses the disk that this node had before.
func (c *Core) recordSender(m *Message) {
	if c.config.Open && m.From.Name != "" {
		c.contacts[m.From.Name] = true
	}
}

// Contact takes names of nodes of an open group that may know a membership.
func (c *Core) Contact(names []string) {
	for _, name := range names {
		c.contacts[name] = c.config.Open
	}
}

// joinTargets returns the names of the nodes that may know a membership, in order.
func (c *Core) joinTargets() []string {
	names := slices.Clone(c.config.Peers)
	for name, open := range c.contacts {
		if open {
			names = append(names, name)
		}
	}
	for _, id := range c.membership.Nodes() {
		names = append(names, id.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (c *Core) adoptMembership() {
	c.membership, c.membershipIndex = c.log.membership()
	if c.role == Leader {
		c.syncProgress()
	}
}

// maintainMembership replaces a node whose disk was lost: the new node learns
// the log; once its disk has caught up the old one goes and the new one gets
// its vote. The old one goes first, since a majority of both would need the
// new disk, which may be lost as well. One change is under way at a time.
func (c *Core) maintainMembership() {
	if c.role != Leader || c.log.committed < c.barrierIndex || c.membershipIndex > c.log.committed {
		return
	}
	if next, ok := c.nextMembership(); ok {
		c.appendEntry(Entry{Kind: EntryMembership, Membership: &next})
	}
}

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

// promotion returns the next step towards a vote for a learner that has
// caught up: without the voter that it replaces, then with its own vote.
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

// withoutLostVoter removes the voter that has been silent for longest, if it has been
// for so long that it counts as gone.
func (c *Core) withoutLostVoter() (Membership, bool) {
	var gone NodeID
	for _, id := range c.membership.Voters {
		if id != c.config.ID && (gone.IsZero() || c.progress[id].ackedSentAt < c.progress[gone].ackedSentAt) {
			gone = id
		}
	}
	if gone.IsZero() {
		return Membership{}, false
	}
	return c.membership.Without(gone), c.now >= c.progress[gone].ackedSentAt+lostVoterTimeouts*clock.Instant(c.config.ElectionTimeout)
}

// eligibleNames returns the names of nodes that may become members, in order.
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

// unresponsive reports whether the node answered no heartbeat for an election timeout.
func (c *Core) unresponsive(id NodeID) bool {
	return c.now >= c.progress[id].ackedSentAt+clock.Instant(c.config.ElectionTimeout)
}

// hasLiveMember reports whether a node with the name is a member and alive, so that
// another identity of that name is an old one whose message came late.
func (c *Core) hasLiveMember(name string) bool {
	return slices.ContainsFunc(c.membership.Nodes(), func(id NodeID) bool {
		return id.Name == name && (id == c.config.ID || !c.unresponsive(id))
	})
}

// staleLearner reports whether the learner is gone: its disk was replaced
// again, or it has been silent for longer than a snapshot may hold up its
// answers. It announces itself if it comes back.
func (c *Core) staleLearner(id NodeID) bool {
	j, ok := c.joiners[id.Name]
	if ok && j.id != id && c.recent(j, 4) {
		return c.unresponsive(id)
	}
	const timeouts = 10
	return c.now >= c.progress[id].ackedSentAt+timeouts*clock.Instant(c.config.ElectionTimeout)+transferTime(&c.log.snapshot)
}

func (c *Core) afterCommit() {
	if !c.membership.Contains(c.config.ID) && c.membershipIndex <= c.log.committed {
		c.becomeFollower(c.hardState.Term, NodeID{})
		return
	}
	c.maintainMembership()
}
