package router

import (
	"context"

	"endivespring/internal/call"
)

// answerSink takes answers of the door for one link.
type answerSink interface {
	// answer hands over an answer and reports whether the link still takes them.
	answer(ctx context.Context, a call.Answer) bool
}
