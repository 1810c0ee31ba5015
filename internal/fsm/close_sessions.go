package fsm

import "endivespring/internal/fleet"

// CloseSessions ends sessions whose lease has run out or that were given up,
// and frees their shards. It is void under another term than Term: a later
// leader may have renewed the sessions.
type CloseSessions struct {
	Term     uint64
	Sessions []fleet.Session
}
