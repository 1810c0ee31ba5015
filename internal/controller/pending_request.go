package controller

import "endivespring/internal/clock"

// pendingRequest is an operator's request whose command is not committed yet.
type pendingRequest struct {
	token     uint64
	commandID string
	deadline  clock.Instant
}
