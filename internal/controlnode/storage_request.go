package controlnode

import "endivespring/internal/consensus"

// storageRequest is one request to the storage duty. Requests are stored in the
// order of the ring.
type storageRequest struct {
	output consensus.Output
	term   uint64
	// snapshot, if set, replaces the log up to its index; retained are the
	// entries after it. The output is then empty.
	snapshot *consensus.Snapshot
	retained []consensus.Entry
}
