package operator

import (
	"endivespring/internal/fsm"
	"endivespring/internal/ring"
)

// Request is an operator's request on its way to the controller duty. Exactly
// one of Change, Status and Explain is set.
type Request struct {
	Change  *fsm.OperatorChange
	Status  bool
	Preset  bool
	Explain *ExplainQuery
	// Reply takes exactly one reply.
	Reply ring.Reply[Reply]
}
