package fsm

import "endivespring/internal/fleet"

// Assign grants free shards and revokes granted ones. Grants and revocations that no
// longer match the state are ignored.
type Assign struct {
	Grants  []Grant
	Revokes []fleet.ShardID
}

// Empty reports whether the command does nothing.
func (a *Assign) Empty() bool { return len(a.Grants) == 0 && len(a.Revokes) == 0 }
