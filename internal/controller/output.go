package controller

import (
	"endivespring/internal/call"
	"endivespring/internal/fsm"
)

// Output holds what the caller of a Core must carry out.
type Output struct {
	// Proposals are commands for the log. The next plan, expiry check or renewal
	// makes a lost proposal again. An operator's command is not repeated.
	Proposals []fsm.Command
	// Sends must go out in this order: a view change precedes the lease that
	// depends on it.
	Sends   []StreamMessage
	Replies []OperatorReply
	// Events are events to log.
	Events []call.Event
}
