package controlnode

import "endivespring/internal/consensus"

// write is one ordered request to the storage duty.
type write struct {
	output consensus.Output
	term   uint64
	// compact is set to store a snapshot and the entries after it.
	compact *consensus.Snapshot
	rest    []consensus.Entry
}
