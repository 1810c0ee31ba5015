package consensus

// Stored is the state that a node restores from its disk when it starts.
type Stored struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}
