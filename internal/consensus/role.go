package consensus

// Role is what a node is in its term.
type Role uint8

const (
	// Follower takes entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether it could win an election.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends entries.
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
