package consensus

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote NodeID
}
