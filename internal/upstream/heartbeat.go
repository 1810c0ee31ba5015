package upstream

import (
	"endivespring/internal/executor"
	"endivespring/internal/ring"
)

// restartDelay is the shortest time between the end of a process and its next start, in
// milliseconds: supervisors wait at least that long.
const restartDelay = 100

// firstSequences is the highest number of a heartbeat of an upstream that has just started.
const firstSequences = 2

// Heartbeat is a sequence-numbered heartbeat from an upstream that holds ranges of
// keys under leases.
type Heartbeat struct {
	// Sequence increases with each heartbeat of one boot. Together with the start time of
	// the upstream it orders heartbeats, so that a late one can be discarded.
	Sequence uint64
	// Draining is set once the upstream accepts no new requests.
	Draining bool
	executor.Heartbeat
	// Reply must be sent exactly one answer.
	Reply ring.Reply[executor.LeaseAnswer]
}

// NewerThan reports whether h was sent after other, which may be nil or belong
// to another boot of the upstream.
func (h *Heartbeat) NewerThan(other *Heartbeat) bool {
	switch {
	case other == nil || h.Upstream.StartMillis != other.Upstream.StartMillis:
		return other == nil || h.Upstream.StartMillis > other.Upstream.StartMillis
	default:
		return h.Sequence > other.Sequence
	}
}

// NewerThanRouter reports whether the upstream started after the earlier process of the
// router, whose present process started at a time in milliseconds since the Unix epoch, had
// ended. The number of the heartbeat must say so too, since the clock of their VM may be
// set back.
func (h *Heartbeat) NewerThanRouter(started int64) bool {
	return h.Upstream.StartMillis > started-restartDelay && h.Sequence <= firstSequences
}
