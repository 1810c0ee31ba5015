package door

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// job is a call that the door admitted: queued, running or waited for.
type job struct {
	run     uint64
	call    call.Call
	tickets []Ticket
	epoch   fleet.Epoch
	started clock.Instant
	running bool
	record  *record
}
