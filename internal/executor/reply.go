package executor

import "endivespring/internal/call"

// Reply is an answer for one call.
type Reply struct {
	Ticket Ticket
	Answer call.Answer
}
