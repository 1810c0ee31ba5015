package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Run asks the sender to hand a call to the upstream. The sender must check
// Fence right before the hand-over.
type Run struct {
	// ID identifies the run in its Outcome.
	ID       uint64
	Upstream fleet.Upstream
	Call     call.Call
	// Epoch is the shard's fencing token, or zero for an unsharded call.
	Epoch fleet.Epoch
	// Deadline is until when the upstream may work on the call: the call's
	// deadline, and for keyed calls no later than the expiry of the ownership
	// lease.
	Deadline clock.Instant
	// Fence is when the call's deadline passes or the lease that covers it
	// expires. From then on the call must not be handed over.
	Fence clock.Instant
	// RefusedBefore is set if the upstream refused an earlier run of the request. A
	// refusal that names the request, but not this run, then proves nothing.
	RefusedBefore bool
}
