package admission

import "time"

// Sample is the end of a run that the upstream answered.
type Sample struct {
	Operation string
	RunTime   time.Duration
	// Concurrency is the number of runs at the upstream right after this one
	// started, itself included.
	Concurrency int
	// Report is what the upstream stated with the answer, or nil.
	Report *Report
}
