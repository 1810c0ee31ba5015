package standin

import (
	"time"

	"endivespring/internal/ring"
)

// job is a request that passes through the scheduler to a slot and back.
type job struct {
	line LedgerLine
	body []byte
	// run is the number of the run, which the answer repeats.
	run      string
	deadline time.Time
	// grantEnd is when the grant expires; zero if there is none.
	grantEnd time.Time
	// connectedAt is when the connection of the request was opened.
	connectedAt time.Time
	// runTime is how long the execution takes. fault and delay apply to its answer.
	runTime time.Duration
	fault   Fault
	delay   time.Duration
	// cancel ends the execution early.
	cancel ring.Reply[struct{}]
	// cancelled and result are set by the slot.
	cancelled bool
	result    result
	// reply receives exactly one result.
	reply ring.Reply[result]
}
