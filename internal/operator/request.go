package operator

import (
	"time"

	"endivespring/internal/fsm"
	"endivespring/internal/ring"
)

// Request is an operator's request to the controller duty. Exactly one of
// Change, Status, Preset and Explain is set.
type Request struct {
	// ReceivedAt is when the front end had read the request, or had confirmed its caller.
	ReceivedAt time.Time
	Change     *fsm.OperatorChange
	// CallerConfirmed is set if the caller of Change was seen to still wait for the answer
	// some time after the command was read.
	CallerConfirmed bool
	Status          bool
	Preset          bool
	Explain         *ExplainQuery
	// Reply receives exactly one reply.
	Reply ring.Reply[Reply]
}
