package caller

// RefusalCause says which limit made a front end refuse a request or close a connection.
type RefusalCause int

const (
	// RefusedConnection: there were too many connections.
	RefusedConnection RefusalCause = iota
	// RefusedReading: there was no memory to read or run the request.
	RefusedReading
	// RefusedSlow: the request was being read, or its answer sent, too slowly while others
	// needed the memory.
	RefusedSlow
	// RefusedAnswer: there was no memory for the answer on its way to the caller.
	RefusedAnswer
	// RefusedDescriptor: the process had no descriptor to accept a connection with.
	RefusedDescriptor
)

var refusalCauses = [...]string{"connections", "memory", "slow", "answer", "descriptors"}

// String returns the value of the cause in events and metrics.
func (c RefusalCause) String() string { return refusalCauses[c] }

// RefusalCauses returns all causes.
func RefusalCauses() []RefusalCause {
	return []RefusalCause{RefusedConnection, RefusedReading, RefusedSlow, RefusedAnswer, RefusedDescriptor}
}
