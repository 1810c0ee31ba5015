package consensus

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command of an entry of kind EntryCommand.
	Data []byte
	// Membership is set on entries of kind EntryMembership.
	Membership *Membership
}
