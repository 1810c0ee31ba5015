package attempt

import (
	"time"

	"endivespring/internal/fleet"
)

// Request is a caller's request at the entry.
type Request struct {
	// Token correlates the reply with the caller's connection.
	Token     uint64
	ID        string
	Service   string
	Operation string
	Key       string
	// Resend is set if the caller says that it sent the request before.
	Resend bool
	// Timeout is the caller's own limit, or zero.
	Timeout time.Duration
	Body    []byte
	// Delegated requests come from a door that keeps the record; Exclude is
	// the door's own router.
	Delegated bool
	Exclude   fleet.RouterID
}
