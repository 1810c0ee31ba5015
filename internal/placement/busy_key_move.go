package placement

import (
	"time"

	"endivespring/internal/clock"
)

// busyKeyPause is the least time between two moves of the same busy key. A move takes up to
// 1.5 s, and the rates of the next owner settle in 2 to 3 s: until then a move back could be
// based on the load before the first one.
const busyKeyPause = 8 * time.Second

// busyKeyMove is a planned move of a busy key.
type busyKeyMove struct {
	from      string // boot ID
	plannedAt clock.Instant
}

// FollowMoves notes the busy keys that a proposed plan moves.
func (k *KeyLoads) FollowMoves(now clock.Instant, moves []Move) {
	for i := range moves {
		if busy := moves[i].BusyKey; busy != nil {
			k.busyMoves[busy.Key] = busyKeyMove{from: busy.Boot, plannedAt: now}
		}
	}
}

// movedRecently reports whether a busy key was moved lately to the upstream with the given
// boot ID. If it is still at the upstream that was to give it away, the plan was rejected.
func (k *KeyLoads) movedRecently(key uint32, boot string) bool {
	move, ok := k.busyMoves[key]
	return ok && move.from != boot
}

// movedFrom returns the boot ID of the upstream that lately gave a busy key among first to
// last away, or an empty one.
func (k *KeyLoads) movedFrom(first, last uint32) string {
	for key, move := range k.busyMoves {
		if first <= key && key <= last {
			return move.from
		}
	}
	return ""
}
