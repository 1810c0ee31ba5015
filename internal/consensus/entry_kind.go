package consensus

// EntryKind tells commands, membership changes and the barrier of a new term apart.
type EntryKind uint8

const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryBarrier is the first entry of a leader's term.
	EntryBarrier
	// EntryMembership replaces the membership by one that differs in one node.
	EntryMembership
)
