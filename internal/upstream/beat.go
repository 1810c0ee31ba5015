package upstream

import (
	"endivespring/internal/executor"
	"endivespring/internal/ring"
)

// Beat is a sequence-numbered heartbeat from an upstream that holds ranges of
// keys under leases.
type Beat struct {
	// Born is the start time of the upstream in milliseconds since the Unix epoch,
	// by its own clock. Sequence increases with each heartbeat of that boot.
	// Together they order heartbeats, so that a late one can be discarded.
	Born     int64
	Sequence uint64
	// Draining is set once the upstream accepts no new requests.
	Draining bool
	executor.Heartbeat
	// Reply must be sent exactly one answer.
	Reply ring.Reply[executor.LeaseAnswer]
}

// NewerThan reports whether b was sent after other, which may be nil or belong
// to another boot of the upstream.
func (b *Beat) NewerThan(other *Beat) bool {
	switch {
	case other == nil || b.Born != other.Born:
		return other == nil || b.Born > other.Born
	default:
		return b.Sequence > other.Sequence
	}
}
