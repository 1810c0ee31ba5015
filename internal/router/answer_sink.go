package router

import (
	"context"

	"endivespring/internal/call"
)

// answerSink delivers the executor's answers to one link.
type answerSink interface {
	// answer queues an answer and reports whether the link still accepts answers.
	answer(ctx context.Context, a call.Answer) bool
}
