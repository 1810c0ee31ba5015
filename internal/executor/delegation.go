package executor

import "endivespring/internal/call"

// Delegation asks to run a call at another executor. Its outcome is passed to
// Complete under the number of the run.
type Delegation struct {
	// Run correlates the outcome.
	Run  uint64
	Call call.Call
}
