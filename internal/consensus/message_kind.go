package consensus

// MessageKind identifies the purpose of a Message.
type MessageKind uint8

// Message kinds.
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
	// Join announces a node that knows no membership or has no leader.
	Join
	// TimeoutNow asks a voter to campaign at once, in a transfer of leadership.
	TimeoutNow
	// Contacts answers a Join in an open group with the sender's membership.
	Contacts
)

var messageKindNames = [...]string{
	"none", "pre-vote", "pre-vote-reply", "vote", "vote-reply", "append", "append-reply",
	"heartbeat", "heartbeat-reply", "install-snapshot", "join", "timeout-now", "contacts",
}

// String returns the kind's name in lower case, or "unknown".
func (k MessageKind) String() string {
	if int(k) < len(messageKindNames) {
		return messageKindNames[k]
	}
	return "unknown"
}
