package standin

// Fault is a way to spoil an answer after its run.
type Fault string

// The faults of answers.
const (
	// FaultNone answers properly.
	FaultNone Fault = ""
	// FaultCrossed answers with the id and body of another request.
	FaultMismatched Fault = "crossed"
	// FaultDuplicated answers twice on the same connection.
	FaultDuplicated Fault = "duplicated"
	// FaultLate holds the answer back.
	FaultLate Fault = "late"
	// FaultTruncated closes the connection in the middle of the body.
	FaultTruncated Fault = "truncated"
	// FaultReset resets the connection instead of an answer.
	FaultReset Fault = "reset"
	// FaultSilent never answers on the connection.
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
