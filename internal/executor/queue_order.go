package executor

import "endivespring/internal/clock"

// queueOrder is the rank of a call in the queue and the latest time at which it may start.
type queueOrder struct {
	rank    int
	startBy clock.Instant
}

// late reports whether the call will miss its objective.
func (o *queueOrder) late() bool { return o.rank >= rankLate }
