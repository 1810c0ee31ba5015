package consensus

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command of a normal entry.
	Data []byte
	// Membership is set on entries of kind EntryMembership.
	Membership *Membership
}
