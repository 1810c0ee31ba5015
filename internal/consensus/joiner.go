package consensus

import "endivespring/internal/clock"

// joiner is a node that announced itself with Join.
type joiner struct {
	id    NodeID
	empty bool
	term  uint64
	// heard is the identity that the node knows for the receiver's name.
	heard NodeID
	at    clock.Instant
}
