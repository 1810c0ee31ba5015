package controlnode

// compaction is a snapshot of the state machine at an index.
type compaction struct {
	index uint64
	data  []byte
}
