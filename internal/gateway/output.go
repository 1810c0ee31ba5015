package gateway

import "endivespring/internal/call"

// Output is what the core asks its caller to do: send and cancel calls, answer
// requests and log events.
type Output struct {
	Sends   []Send
	Cancels []Cancel
	// Withdrawals are calls that are to be refused unless they have started.
	Withdrawals []Cancel
	Replies     []Reply
	Events      []call.Event
	// NestedCalls and Waits are for the executor of this router.
	NestedCalls []call.NestedCall
	Waits       []call.ServiceWait
	// Refused is the number of requests refused because of load reports, Overflow that of
	// calls sent to another data centre because the own one has no room.
	Refused, Overflow int64
}
