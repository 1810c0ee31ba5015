package router

import (
	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// inboundAnswer is a message from a link, or from the executor of the same process,
// to the gateway duty: an answer, the loss of one, a load report, or the end of the link.
type inboundAnswer struct {
	from   fleet.RouterID
	answer call.Answer
	// lost is set if there is no valid answer. verdict then tells whether the call
	// may have run.
	lost    bool
	verdict verdict.Verdict
	// load is a report that was not sent with an answer, or nil.
	load *call.Load
	// ended is the link that has ended, or nil. retired is a link that takes no more
	// calls and still brings answers, or nil.
	ended, retired *link
}
