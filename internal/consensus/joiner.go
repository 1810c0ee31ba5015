package consensus

import "endivespring/internal/clock"

// joiner is the latest Join from a node name.
type joiner struct {
	id    NodeID
	empty bool
	term  uint64
	// addressee is the identity of this node that the Join was sent to: its
	// disk is the one from which the sender last received a Join.
	addressee  NodeID
	receivedAt clock.Instant
}
