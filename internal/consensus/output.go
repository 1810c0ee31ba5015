package consensus

// Output is what a Core asks its caller to do, in the order of the fields.
type Output struct {
	// HardState is set if it changed.
	HardState *HardState
	// Snapshot, if set, replaces the stored log and the state of the state
	// machine.
	Snapshot *Snapshot
	// Entries are appended to the stored log; stored entries at or after the
	// first one's index are replaced.
	Entries []Entry
	// Immediate messages may be sent before anything is stored.
	Immediate []Message
	// AfterSync messages may be sent only after HardState, Snapshot and Entries
	// are synced to disk.
	AfterSync []Message
	// Committed entries are applied to the state machine in order, each exactly
	// once.
	Committed []Entry
}

// NeedsStorage reports whether the output has something to store or messages
// that must wait for earlier writes.
func (o *Output) NeedsStorage() bool {
	return o.HardState != nil || o.Snapshot != nil || len(o.Entries) > 0 || len(o.AfterSync) > 0
}

// LastIndex returns the last index of the log that the output asks to store, or
// zero if it has neither entries nor a snapshot.
func (o *Output) LastIndex() uint64 {
	if len(o.Entries) > 0 {
		return o.Entries[len(o.Entries)-1].Index
	}
	if o.Snapshot != nil {
		return o.Snapshot.Index
	}
	return 0
}
