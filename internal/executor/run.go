package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Run asks to hand a call to the upstream.
type Run struct {
	// ID correlates the outcome.
	ID       uint64
	Upstream fleet.Upstream
	Call     call.Call
	// Epoch is the shard's fencing token, or zero for an unsharded call.
	Epoch fleet.Epoch
	// Deadline is the latest instant at which the upstream may still work on
	// the call: the call's own deadline or the end of the lease.
	Deadline clock.Instant
	// Fence is the instant from which the call must not be handed over.
	Fence clock.Instant
}
