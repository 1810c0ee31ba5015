package consensus

import (
	"slices"

	"endivespring/internal/clock"
)

const joinIntervalFactor = 2 // join interval in heartbeat intervals

// tickJoin announces a node without a membership. The node with the lowest
// name forms the first membership once every peer says that its disk is empty.
func (c *Core) tickJoin() {
	if c.now < c.joinAt {
		return
	}
	c.joinAt = c.now + joinIntervalFactor*clock.Instant(c.config.HeartbeatInterval)
	c.joined[c.config.ID.Name] = joiner{id: c.config.ID, empty: c.isEmpty(), at: c.now}
	for _, name := range c.config.Peers {
		if name != c.config.ID.Name {
			c.send(Message{Kind: Join, To: NodeID{Name: name}, Empty: c.isEmpty()})
		}
	}
	c.maybeBootstrap()
}

func (c *Core) isEmpty() bool {
	return c.startedEmpty && c.hard == HardState{} && c.log.lastIndex() == 0
}

func (c *Core) maybeBootstrap() {
	names := slices.Clone(c.config.Peers)
	slices.Sort(names)
	if !c.isEmpty() || len(names) == 0 || names[0] != c.config.ID.Name {
		return
	}
	fresh := c.now - 2*joinIntervalFactor*clock.Instant(c.config.HeartbeatInterval)
	var m Membership
	for _, name := range names {
		j, ok := c.joined[name]
		if !ok || !j.empty || j.at < fresh {
			return
		}
		m.Voters = append(m.Voters, j.id)
	}
	s := Snapshot{Index: 1, Term: 1, Membership: m}
	c.hard = HardState{Term: 1}
	c.log.restore(s)
	c.output.Snapshot = &s
	c.adoptMembership()
	c.lastContact = c.now - 2*clock.Instant(c.config.ElectionTimeout)
	c.campaign(PreCandidate)
}

// stepJoin remembers a node without a membership; a leader adds it.
func (c *Core) stepJoin(m *Message) {
	c.joined[m.From.Name] = joiner{id: m.From, empty: m.Empty, at: c.now}
	if c.role == Leader {
		c.maintainMembership()
	}
}

func (c *Core) adoptMembership() {
	c.membership, c.membershipIndex = c.log.membership()
	if c.role == Leader {
		c.syncProgress()
	}
}

// maintainMembership replaces a node whose disk was lost: the new node learns
// the log, gets a vote once its disk has caught up, and then the old one goes.
// One change is under way at a time.
func (c *Core) maintainMembership() {
	if c.role != Leader || c.log.committed < c.termStart || c.membershipIndex > c.log.committed {
		return
	}
	if next, ok := c.nextMembership(); ok {
		c.appendOwn(Entry{Kind: EntryMembership, Membership: &next})
	}
}

func (c *Core) nextMembership() (Membership, bool) {
	for _, id := range c.membership.Voters {
		if id != c.config.ID && c.replaced(id) {
			return c.membership.Without(id), true
		}
	}
	for _, id := range c.membership.Learners {
		if c.staleLearner(id) {
			return c.membership.Without(id), true
		}
		if c.progress[id].match >= c.log.committed && c.now < c.progress[id].ackedSent+clock.Instant(c.config.ElectionTimeout) {
			return c.membership.WithVoter(id), true
		}
	}
	for _, name := range c.config.Peers {
		j, ok := c.joined[name]
		recent := j.at+4*joinIntervalFactor*clock.Instant(c.config.HeartbeatInterval) > c.now
		if ok && recent && j.id != c.config.ID && !c.membership.Contains(j.id) {
			return c.membership.WithLearner(j.id), true
		}
	}
	return Membership{}, false
}

// replaced reports whether a later voter has the same name.
func (c *Core) replaced(id NodeID) bool {
	at := slices.Index(c.membership.Voters, id)
	return slices.ContainsFunc(c.membership.Voters[at+1:], func(other NodeID) bool { return other.Name == id.Name })
}

// staleLearner reports whether the learner's disk was replaced again.
func (c *Core) staleLearner(id NodeID) bool {
	j, ok := c.joined[id.Name]
	return ok && j.id != id && j.at > c.progress[id].ackedSent
}

func (c *Core) afterCommit() {
	if !c.membership.Contains(c.config.ID) && c.membershipIndex <= c.log.committed {
		c.becomeFollower(c.hard.Term, NodeID{})
		return
	}
	c.maintainMembership()
}
