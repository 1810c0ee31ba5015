package gateway

import (
	"time"

	"endivespring/internal/balancer"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// pendingCall is a call in flight.
type pendingCall struct {
	parent *pendingRequest
	router fleet.RouterID
	sent   clock.Instant
	hedge  bool
	// wait is the time that the call was expected to wait for a slot.
	wait        time.Duration
	outstanding *balancer.Outstanding
}
