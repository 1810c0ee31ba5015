package operator

// Process is a control process as an operator reaches it.
type Process struct {
	Address string `json:"address"`
	// State is leads, follows, no-leader, refused or unreachable.
	State string `json:"state"`
	Term  uint64 `json:"term"`
	// Commit is the last log entry that the process knows to be committed.
	Commit uint64 `json:"commit"`
}
