package caller

import (
	"endivespring/internal/attempt"
	"endivespring/internal/call"
	"endivespring/internal/ring"
)

// Request is a caller's request on its way to the entry duty.
type Request struct {
	Request attempt.Request
	// Reply takes exactly one answer.
	Reply ring.Reply[call.Answer]
}
