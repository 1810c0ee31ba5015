package router

import (
	"endivespring/internal/call"
	"endivespring/internal/executor"
)

// localLink is the link number of the gateway in the same process.
const localLink = 0

// submission is a message to the executor duty: a call, a cancellation or withdrawal, the outcome
// of a delegated call, or the opening or closing of a link.
type submission struct {
	link   uint64
	call   call.Call
	cancel uint64
	// withdraw is the number of a call that is to be refused unless it has started.
	withdraw uint64
	// outcome is the outcome of a delegated call.
	outcome *executor.Outcome
	// open registers the answer sink of a new link. closed unregisters the link and
	// cancels its calls.
	open   answerSink
	closed bool
}
