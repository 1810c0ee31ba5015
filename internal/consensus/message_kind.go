package consensus

// MessageKind tells the messages between nodes apart.
type MessageKind uint8

// The messages between nodes.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	InstallSnapshot
	// Join announces a node that knows no membership.
	Join
	// TimeoutNow asks a follower to campaign at once.
	TimeoutNow
	// Contacts answers a Join in an open group with the members that the sender
	// knows.
	Contacts
)

var messageKindNames = [...]string{
	"none", "pre-vote", "pre-vote-reply", "vote", "vote-reply", "append", "append-reply",
	"heartbeat", "heartbeat-reply", "install-snapshot", "join", "timeout-now", "contacts",
}

// String returns the kind's name.
func (k MessageKind) String() string {
	if int(k) < len(messageKindNames) {
		return messageKindNames[k]
	}
	return "unknown"
}
