package controller

import (
	"endivespring/internal/call"
	"endivespring/internal/fsm"
)

// Output is what a step asks its caller to do.
type Output struct {
	// Proposals are commands for the log. One that gets lost is proposed again.
	Proposals []fsm.Command
	Sends     []Send
	Replies   []OperatorReply
	Decisions []call.Decision
}
