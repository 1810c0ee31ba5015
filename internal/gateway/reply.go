package gateway

import "endivespring/internal/call"

// Reply is the answer to a request. There is exactly one for each request.
type Reply struct {
	// Token is that of the Request.
	Token  uint64
	Answer call.Answer
}
