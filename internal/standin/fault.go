package standin

// Fault is a fault of the answer to a request that has run.
type Fault string

// The faults of answers.
const (
	// FaultNone answers correctly.
	FaultNone Fault = ""
	// FaultMismatched answers with the ID and body of an earlier request.
	FaultMismatched Fault = "crossed"
	// FaultDuplicated answers twice on the same connection.
	FaultDuplicated Fault = "duplicated"
	// FaultLate delays the answer.
	FaultLate Fault = "late"
	// FaultTruncated closes the connection in the middle of the body.
	FaultTruncated Fault = "truncated"
	// FaultReset resets the connection instead of answering.
	FaultReset Fault = "reset"
	// FaultNoAnswer keeps the connection open and never answers.
	FaultNoAnswer Fault = "silent"
)

func (f Fault) known() bool {
	switch f {
	case FaultNone, FaultMismatched, FaultDuplicated, FaultLate, FaultTruncated, FaultReset, FaultNoAnswer:
		return true
	default:
		return false
	}
}
