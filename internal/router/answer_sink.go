package router

import (
	"context"

	"endivespring/internal/call"
)

// answerSink delivers the executor's answers to one link.
type answerSink interface {
	// answer queues an answer and reports whether the link still accepts answers.
	answer(ctx context.Context, a call.Answer) bool
	// report queues a load report, unless the link's ring is half full. A later report
	// replaces one that was not queued.
	report(ctx context.Context, load *call.Load) (queued bool)
	// retire asks the gateway to send no more calls on the link.
	retire(ctx context.Context)
	// finish ends the link after the answers that are queued.
	finish(ctx context.Context)
}
