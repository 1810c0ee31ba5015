package controller

import "endivespring/internal/fsm"

// OperatorReply is the outcome of an operator's request. Result is valid only if
// none of Redirect, TooFewVoters, ConfirmCaller and OutcomeUnknown is set.
type OperatorReply struct {
	// Token is that of the request.
	Token  uint64
	Result fsm.Result
	// Redirect is set if this process is not leader; the command was not proposed.
	Redirect bool
	// Leader is the peer address of the leader, if it is known.
	Leader string
	// TooFewVoters is set if the log has too few voters to keep a command safe; the
	// command was not proposed.
	TooFewVoters bool
	// ConfirmCaller is set if the command has no base version and its caller is not known
	// to still wait for it; it was not proposed.
	ConfirmCaller bool
	// OutcomeUnknown is set if the command was proposed but not committed before this
	// process lost leadership or the request timed out: it may still be committed.
	OutcomeUnknown bool
}
