// Package consensus replicates a log with the Raft algorithm, extended by
// pre-votes, leader leases and automatic replacement of members. The core is a
// pure state machine: messages and clock readings go in; messages, records to
// store and committed entries come out. It uses no goroutine, clock, file or
// socket. Callers must store the HardState, the Snapshot and the Entries of an
// output, in this order or as one write, and sync them before they send its
// AfterSync messages. Outputs must be stored in the order in which they were taken.
package consensus

// NodeID identifies a node by its name and the ID of its disk. A node whose disk
// was lost gets a new disk ID and counts as a new node.
type NodeID struct {
	Name string
	Disk string
}

// String returns the ID in the form name/disk.
func (id NodeID) String() string { return id.Name + "/" + id.Disk }

// IsZero reports whether the ID is the zero NodeID, which stands for no node.
func (id NodeID) IsZero() bool { return id == NodeID{} }
