package gateway

import "endivespring/internal/call"

// Finish is the answer to a request.
type Finish struct {
	Token  uint64
	Answer call.Answer
}
