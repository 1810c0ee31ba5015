package controlnode

// persisted reports that entries up to index are on disk.
type persisted struct {
	index uint64
	term  uint64
}
