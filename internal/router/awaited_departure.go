package router

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/ring"
)

// awaitedDeparture is a departure whose acknowledgement awaits its registration. The boot is
// that of the upstream that has left, if it is the present one.
type awaitedDeparture struct {
	departure    fleet.Departure
	boot         string
	acknowledged ring.Reply[bool]
	until        clock.Instant
}
