package consensus

// Stored is what a node finds on its disk when it starts.
type Stored struct {
	HardState HardState
	Snapshot  *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Empty reports whether the disk holds nothing.
func (s *Stored) Empty() bool {
	return s.HardState == HardState{} && s.Snapshot == nil && len(s.Entries) == 0
}
