package fsm

// Refusal says why a command was refused.
type Refusal uint8

const (
	// RefusalNone is the value of an accepted command.
	RefusalNone Refusal = iota
	// RefusalConflict means that another change came first.
	RefusalConflict
	// RefusalInvalid means that the command can never be accepted.
	RefusalInvalid
)
