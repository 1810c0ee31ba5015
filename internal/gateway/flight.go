package gateway

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/routing"
)

// flight is a call under way.
type flight struct {
	task        *task
	router      fleet.RouterID
	sent        clock.Instant
	hedge       bool
	outstanding *routing.Outstanding
}
