package gateway

import "endivespring/internal/call"

// Output is what a step asks its caller to do.
type Output struct {
	Sends     []Send
	Cancels   []Cancel
	Finishes  []Finish
	Decisions []call.Decision
}
