package executor

// jobPhase says where a job is.
type jobPhase uint8

const (
	// jobQueued waits for a place at the upstream beside the door.
	jobQueued jobPhase = iota
	// jobRunning is at the upstream beside the door.
	jobRunning
	// jobDelegated is at another door, while this one keeps the record.
	jobDelegated
)
