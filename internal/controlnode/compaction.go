package controlnode

// compaction asks for the log to be compacted up to index; data is the encoded
// state of the state machine at that index.
type compaction struct {
	index uint64
	data  []byte
}
