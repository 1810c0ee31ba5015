package consensus

import "slices"

// Membership lists the members of the group. Learners receive the log but have
// no vote. A membership is immutable once it is in the log.
type Membership struct {
	Voters   []NodeID
	Learners []NodeID
}

// IsVoter reports whether the node with this name and disk has a vote.
func (m Membership) IsVoter(id NodeID) bool { return slices.Contains(m.Voters, id) }

// Contains reports whether the node is a voter or a learner.
func (m Membership) Contains(id NodeID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// Nodes returns all members, voters before learners.
func (m Membership) Nodes() []NodeID { return slices.Concat(m.Voters, m.Learners) }

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns the membership with a learner added.
func (m Membership) WithLearner(id NodeID) Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: append(slices.Clone(m.Learners), id)}
}

// WithVoter returns the membership with a learner promoted to voter.
func (m Membership) WithVoter(id NodeID) Membership {
	without := m.Without(id)
	without.Voters = append(without.Voters, id)
	return without
}

// Without returns the membership without the node.
func (m Membership) Without(id NodeID) Membership {
	same := func(other NodeID) bool { return other == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), same),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), same),
	}
}
