package gateway

import (
	"endivespring/internal/balancer"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// pendingCall is a call in flight.
type pendingCall struct {
	parent      *pendingRequest
	router      fleet.RouterID
	sent        clock.Instant
	hedge       bool
	outstanding *balancer.Outstanding
}
