package consensus

// Stored is what a node finds on its disk when it starts.
type Stored struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}
