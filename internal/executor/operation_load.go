package executor

// OperationLoad is what an operation has of an upstream's slots.
type OperationLoad struct {
	Operation string
	Nested    bool
	// Queued is the number of queued calls. Asked and Given are its shares of the slot time
	// asked for and given in the last seconds.
	Queued       int
	Asked, Given float64
}
