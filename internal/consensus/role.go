package consensus

// Role is a node's role in its current term.
type Role uint8

const (
	// Follower accepts entries from a leader. Learners are followers too.
	Follower Role = iota
	// PreCandidate asks the voters, in its current term, whether it could win an
	// election.
	PreCandidate
	// Candidate has started a new term and asks for votes.
	Candidate
	// Leader accepts proposals and replicates the log.
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
