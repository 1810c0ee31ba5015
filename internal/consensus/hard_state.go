package consensus

// HardState is a node's current term and its vote in that term. It must be on
// disk before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote NodeID
}
