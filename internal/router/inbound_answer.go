package router

import (
	"endivespring/internal/call"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// inboundAnswer is what a link to a door tells the entry duty.
type inboundAnswer struct {
	from   fleet.RouterID
	answer call.Answer
	// lost is set if the call's link failed; verdict then says what is proved.
	lost    bool
	verdict verdict.Verdict
	// ended is set if the whole link is gone.
	ended *link
}
