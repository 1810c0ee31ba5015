package standin

// Fault is a way to spoil an answer after its run.
type Fault string

// The faults of answers.
const (
	// FaultNone answers properly.
	FaultNone Fault = ""
	// FaultCrossed answers with the id and body of another request.
	FaultCrossed Fault = "crossed"
	// FaultDuplicated answers twice on the same connection.
	FaultDuplicated Fault = "duplicated"
	// FaultLate holds the answer back.
	FaultLate Fault = "late"
	// FaultTruncated closes the connection in the middle of the body.
	FaultTruncated Fault = "truncated"
	// FaultReset resets the connection instead of an answer.
	FaultReset Fault = "reset"
	// FaultSilent never answers on the connection.
	FaultSilent Fault = "silent"
)

func (f Fault) known() bool {
	switch f {
	case FaultNone, FaultCrossed, FaultDuplicated, FaultLate, FaultTruncated, FaultReset, FaultSilent:
		return true
	default:
		return false
	}
}
