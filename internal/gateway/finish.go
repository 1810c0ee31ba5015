package gateway

import "endivespring/internal/call"

// Finish is the answer to a request. There is exactly one for each request.
type Finish struct {
	// Token is that of the Request.
	Token  uint64
	Answer call.Answer
}
