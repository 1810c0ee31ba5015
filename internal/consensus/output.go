package consensus

// Output is what a step asks its caller to do, in the order of the fields.
type Output struct {
	// HardState is set if it changed.
	HardState *HardState
	// Snapshot replaces the stored log and the state machine's state.
	Snapshot *Snapshot
	// Entries are appended to the stored log; entries at or after the first
	// one's index are replaced.
	Entries []Entry
	// Immediate messages may be sent before anything is stored.
	Immediate []Message
	// AfterSync messages may be sent only once all of the above is on disk.
	AfterSync []Message
	// Committed entries are applied in order, each exactly once.
	Committed []Entry
}

// NeedsStorage reports whether something must be stored or wait for storage.
func (o *Output) NeedsStorage() bool {
	return o.HardState != nil || o.Snapshot != nil || len(o.Entries) > 0 || len(o.AfterSync) > 0
}

// LastIndex returns the last stored index of the output, or zero.
func (o *Output) LastIndex() uint64 {
	if len(o.Entries) > 0 {
		return o.Entries[len(o.Entries)-1].Index
	}
	if o.Snapshot != nil {
		return o.Snapshot.Index
	}
	return 0
}
