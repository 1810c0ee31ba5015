package balancer

import "endivespring/internal/clock"

// Outstanding is a call under way at a target. Calls of a target form a list
// in the order in which they were sent.
type Outstanding struct {
	target         *target
	sent           clock.Instant
	previous, next *Outstanding
}
