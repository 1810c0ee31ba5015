package consensus

import "endivespring/internal/clock"

// progress is what a leader knows of one other node.
type progress struct {
	// match is the last entry known to be on the node's disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// pending is set while an Append or InstallSnapshot awaits its reply.
	pending bool
	// retryAt is when a message without a reply is taken as lost.
	retryAt clock.Instant
	// ackedSentAt is the latest Sent of a heartbeat that the node answered.
	ackedSentAt clock.Instant
}
