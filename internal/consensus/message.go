package consensus

import "endivespring/internal/clock"

// Message is what nodes send to each other.
type Message struct {
	Kind     MessageKind
	From, To NodeID
	Term     uint64
	// Index and LogTerm are the previous entry of an Append, the last entry of
	// a vote request, and the last matching entry of an AppendReply.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Reject is set on replies that refuse.
	Reject bool
	// Sent is the sender's clock on a Heartbeat and is echoed by the reply.
	Sent clock.Instant
	// Empty is set on a Join if the node's log holds nothing.
	Empty bool
	// Transfer is set on a Vote that the current leader asked for.
	Transfer bool
	Snapshot *Snapshot
}
