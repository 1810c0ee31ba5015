package executor

import (
	"endivespring/internal/admission"
	"endivespring/internal/call"
)

// Outcome is how a run ended.
type Outcome struct {
	// Run is the run's id.
	Run uint64
	// Answer has the verdict and, if the upstream answered, the whole body.
	Answer call.Answer
	// Health is what the run says of the upstream.
	Health admission.Outcome
}
