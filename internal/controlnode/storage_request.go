package controlnode

import "endivespring/internal/consensus"

// storageRequest is one ordered request to the storage duty.
type storageRequest struct {
	output consensus.Output
	term   uint64
	// snapshot is set to store a snapshot and the entries after it.
	snapshot *consensus.Snapshot
	retained []consensus.Entry
}
