package router

import (
	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// inboundAnswer is a message from a link, or from the executor of the same process,
// to the gateway duty: an answer, the loss of one, or the end of the link.
type inboundAnswer struct {
	from   fleet.RouterID
	answer call.Answer
	// lost is set if there is no valid answer. verdict then tells whether the call
	// may have run.
	lost    bool
	verdict verdict.Verdict
	// ended is the link that has ended, or nil. retired is a link that takes no more
	// calls and still brings answers, or nil.
	ended, retired *link
}
