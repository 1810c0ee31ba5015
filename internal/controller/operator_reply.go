package controller

import "endivespring/internal/fsm"

// OperatorReply is the outcome of an operator's request.
type OperatorReply struct {
	Token  uint64
	Result fsm.Result
	// Redirect is set if this process does not lead; nothing was decided here.
	Redirect bool
	// Leader is the peer address of the process that leads, if it is known.
	Leader string
	// Unready is set if the log has too few voters to keep a command safe.
	Unready bool
	// Unknown is set if this process stopped leading before the command was
	// committed: the next leader may still commit it.
	Unknown bool
}
