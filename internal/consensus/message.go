package consensus

import "endivespring/internal/clock"

// Message is a message between two nodes. Kind determines which of the other
// fields are set.
type Message struct {
	Kind     MessageKind
	From, To NodeID
	// Term is the sender's term. In a PreVote, and in a reply that grants it, it
	// is the term that the candidate would start.
	Term uint64
	// Index and LogTerm identify the entry before the first one of an Append
	// and the candidate's last entry in a vote request. In an AppendReply, Index
	// is the last entry that is on the sender's disk and matches the leader's
	// log, or in a rejection, the last index at which the logs may match.
	Index   uint64
	LogTerm uint64
	// Commit is the leader's commit index. A Heartbeat limits it to entries that
	// are known to match, since the receiver does not compare the logs.
	Commit  uint64
	Entries []Entry
	// Reject is set on replies that refuse the request.
	Reject bool
	// Sent is the leader's clock when it sent a Heartbeat; the reply echoes it,
	// so that the lease counts from the sending.
	Sent clock.Instant
	// Empty is set on a Join if the sender's log is empty.
	Empty bool
	// Transfer is set on a Vote that the leader asked for, having released its
	// lease.
	Transfer bool
	Snapshot *Snapshot
}
