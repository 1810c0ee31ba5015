package gateway

import (
	"endivespring/internal/balancer"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// flight is a call under way.
type flight struct {
	task        *task
	router      fleet.RouterID
	sent        clock.Instant
	hedge       bool
	outstanding *balancer.Outstanding
}
