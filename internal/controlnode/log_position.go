package controlnode

// logPosition reports that entries up to index are on disk.
type logPosition struct {
	index uint64
	term  uint64
}
