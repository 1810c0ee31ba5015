package fsm

// Refusal classifies why an operator's command was refused.
type Refusal uint8

const (
	// RefusalNone is the value for an accepted command, and for a refusal of neither
	// class.
	RefusalNone Refusal = iota
	// RefusalConflict means that another change was accepted first. The command may
	// be accepted if it is built on that change.
	RefusalConflict
	// RefusalInvalid means that the command itself is not acceptable.
	RefusalInvalid
)
