package consensus

import "endivespring/internal/clock"

// joiner is a node that announced itself with Join.
type joiner struct {
	id    NodeID
	empty bool
	at    clock.Instant
}
