package consensus

import "endivespring/internal/clock"

// joiner is a node that announced itself with Join.
type joiner struct {
	id    NodeID
	empty bool
	term  uint64
	// addressee is the identity that the node knows for the receiver's name.
	addressee  NodeID
	receivedAt clock.Instant
}
