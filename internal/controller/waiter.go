package controller

import "endivespring/internal/clock"

// waiter is an operator's request whose command is not committed yet.
type waiter struct {
	token   uint64
	command string
	until   clock.Instant
}
