package executor

import "endivespring/internal/call"

// Reply is the answer to one call.
type Reply struct {
	Ticket Ticket
	Answer call.Answer
}
