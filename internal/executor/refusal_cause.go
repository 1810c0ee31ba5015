package executor

// RefusalCause says which rule refused a call as overloaded.
type RefusalCause string

const (
	// CauseNone is that of refusals for other reasons.
	CauseNone RefusalCause = ""
	// CauseWait means that the call could not start in time, or did not.
	CauseWait RefusalCause = "wait"
	// CauseRoom means that the queue was full.
	CauseRoom RefusalCause = "room"
	// CauseShare means that a call of an operation below its floor took the place.
	CauseShare RefusalCause = "share"
	// CauseParent means that nested calls of the call would wait for too long.
	CauseParent RefusalCause = "parent"
)
