package executor

import "endivespring/internal/fleet"

// Abort asks the sender to cancel a run at the upstream.
type Abort struct {
	Run       uint64
	Upstream  fleet.Upstream
	RequestID string
}
