package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
)

// record is the deduplication record of a non-idempotent request: it makes the
// request run at most once within the record window.
type record struct {
	key recordKey
	// fingerprint tells apart different requests under the same ID.
	fingerprint uint64
	job         *job
	// answer is set once the outcome is known, and nil again if its body was
	// dropped for space.
	answer  *call.Answer
	expires clock.Instant
}
