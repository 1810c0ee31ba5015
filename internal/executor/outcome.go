package executor

import (
	"endivespring/internal/admission"
	"endivespring/internal/call"
)

// Outcome is the result of a run or of a delegation.
type Outcome struct {
	// Run is the number of the run or delegation.
	Run uint64
	// Answer has the verdict and, if the upstream answered, the whole body.
	Answer call.Answer
	// Health tells the concurrency limiter how the upstream did. It is unused
	// for a delegation.
	Health admission.Outcome
	// Report is what the upstream stated about its load with its response, or nil.
	Report *admission.Report
}
