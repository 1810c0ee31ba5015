// Package consensus replicates a log over a few voters. The core is a pure
// state machine: messages and clock readings go in; messages, records to
// store and committed entries come out. It uses no goroutine, clock, file or
// socket. Callers must store Entries, HardState and Snapshot of an output in
// order before they send its AfterSync messages.
package consensus

// NodeID identifies a voter by its name and the identity of its disk. A node
// whose disk was emptied gets another identity and is a new node.
type NodeID struct {
	Name string
	Disk string
}

// String returns name/disk.
func (id NodeID) String() string { return id.Name + "/" + id.Disk }

// IsZero reports whether the identity is empty.
func (id NodeID) IsZero() bool { return id == NodeID{} }
