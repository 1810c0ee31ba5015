package consensus

// EntryKind distinguishes commands, membership changes and the barrier of a new
// term.
type EntryKind uint8

const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryBarrier is the empty entry that a leader appends first in its term:
	// once it is committed, so are all entries before it.
	EntryBarrier
	// EntryMembership replaces the membership by one that differs in one node,
	// so that majorities of both overlap.
	EntryMembership
)
