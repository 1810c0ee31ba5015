package upstream

import (
	"endivespring/internal/executor"
	"endivespring/internal/ring"
)

// Beat is a heartbeat of an upstream that counts what it says.
type Beat struct {
	// Born is when the upstream started, in milliseconds since 1970 by its own
	// clock, and Sequence grows with each heartbeat of a start: together they
	// tell a late heartbeat.
	Born     int64
	Sequence uint64
	// Draining is set once the upstream wants no new work.
	Draining bool
	executor.Heartbeat
	// Reply takes exactly one answer.
	Reply ring.Reply[executor.LeaseAnswer]
}

// NewerThan reports whether a heartbeat was sent after another one, which may
// be of an earlier start of the upstream.
func (b *Beat) NewerThan(other *Beat) bool {
	switch {
	case other == nil || b.Born != other.Born:
		return other == nil || b.Born > other.Born
	default:
		return b.Sequence > other.Sequence
	}
}
