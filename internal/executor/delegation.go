package executor

import "endivespring/internal/call"

// Delegation asks to run a call at another door. Its outcome comes back as
// that of the run.
type Delegation struct {
	// Run correlates the outcome.
	Run  uint64
	Call call.Call
}
