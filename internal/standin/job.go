package standin

import (
	"time"

	"endivespring/internal/ring"
)

// job is a request on its way through the scheduler to a slot and back.
type job struct {
	line     LedgerLine
	body     []byte
	deadline time.Time
	// grantEnd is when the grant expires; zero if there is none.
	grantEnd time.Time
	// opened is when the request's connection was opened.
	connectedAt time.Time
	// plan is how long the run takes; fault and delay spoil its answer.
	runTime time.Duration
	fault   Fault
	delay   time.Duration
	// cancel ends the run early.
	cancel ring.Reply[struct{}]
	// cancelled and result are set by the slot.
	cancelled bool
	result    result
	// reply takes exactly one result.
	reply ring.Reply[result]
}
