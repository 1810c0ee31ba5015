package executor

// jobPhase is the state of a job.
type jobPhase uint8

const (
	// jobQueued waits for a slot of the upstream.
	jobQueued jobPhase = iota
	// jobRunning was handed to the upstream or is about to be.
	jobRunning
	// jobDelegated is with another executor, while this one keeps the record.
	jobDelegated
)
