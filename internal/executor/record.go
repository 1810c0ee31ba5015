package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
)

// record remembers a non-idempotent request, so that it runs at most once.
type record struct {
	key recordKey
	// fingerprint tells another request under the same id.
	fingerprint uint64
	job         *job
	// answer is set once the outcome is known.
	answer  *call.Answer
	expires clock.Instant
}
