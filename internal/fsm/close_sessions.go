package fsm

import "endivespring/internal/fleet"

// CloseSessions closes sessions whose lease has expired or that their routers asked to
// close, and frees their shards. It is rejected unless it was appended under Term: a
// leader of a later term may have renewed the sessions.
type CloseSessions struct {
	Term     uint64
	Sessions []fleet.Session
}
