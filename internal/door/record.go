package door

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
)

// record remembers a non-idempotent request, so that it runs at most once.
type record struct {
	key recordKey
	job *job
	// answer is set once the outcome is known; it stays MayHaveRun if it is not.
	answer  *call.Answer
	expires clock.Instant
}
