package consensus

import "endivespring/internal/clock"

// progress is what a leader knows of another node's log.
type progress struct {
	// match is the last entry known to be on the node's disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// pending is set while an Append or InstallSnapshot awaits its reply; no
	// other one is sent meanwhile.
	pending bool
	// retryAt is when a pending message without a reply counts as lost.
	retryAt clock.Instant
	// ackedSentAt is when the latest heartbeat that the node answered was sent.
	ackedSentAt clock.Instant
}
