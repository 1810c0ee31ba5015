package controlnode

// logPosition is the index and term of the last log entry that has been synced
// to disk.
type logPosition struct {
	index uint64
	term  uint64
}
