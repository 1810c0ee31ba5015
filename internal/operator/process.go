package operator

// Process is the state of one control process, as seen at its operator address.
type Process struct {
	Address string `json:"address"`
	// State is leads, follows, no-leader, refused or unreachable.
	State string `json:"state"`
	Term  uint64 `json:"term"`
	// Commit is the index of the last log entry that the process knows to be
	// committed.
	Commit uint64 `json:"commit"`
}
