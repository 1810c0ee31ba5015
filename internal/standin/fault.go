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
	// FaultTruncatedHead closes the connection in the middle of the header.
	FaultTruncatedHead Fault = "truncated-head"
	// FaultEndlessHead writes a header without end until the connection is closed.
	FaultEndlessHead Fault = "endless-head"
	// FaultEndlessBody writes a body without length until the connection is closed.
	FaultEndlessBody Fault = "endless-body"
	// FaultRepeatedRefusal writes the last refusal once more, before the answer.
	FaultRepeatedRefusal Fault = "repeated-refusal"
)

func (f Fault) known() bool {
	switch f {
	case FaultNone, FaultMismatched, FaultLate:
		return true
	default:
		return f.writesRaw()
	}
}

// writesRaw reports whether a faulty answer is written to the connection directly, after
// which the connection is closed.
func (f Fault) writesRaw() bool {
	switch f {
	case FaultDuplicated, FaultTruncated, FaultReset, FaultNoAnswer, FaultTruncatedHead, FaultEndlessHead, FaultEndlessBody, FaultRepeatedRefusal:
		return true
	default:
		return false
	}
}
