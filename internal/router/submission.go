package router

import (
	"endivespring/internal/call"
	"endivespring/internal/executor"
)

// localLink is the link number of the entry in the same process.
const localLink = 0

// submission is a call on its way to the door duty, or a change of its link.
type submission struct {
	link   uint64
	call   call.Call
	cancel uint64
	// outcome is that of a call that the door delegated.
	outcome *executor.Outcome
	// open registers the link's answers; closed forgets the link.
	open   answerSink
	closed bool
}
