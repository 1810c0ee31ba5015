// Package fsm is the state machine on the replicated log: sessions,
// shard ownership, presets and operator settings. It is deterministic; time
// does not enter it.
package fsm

// Command is one command of the log. Exactly one field is set.
type Command struct {
	OpenSession    *OpenSession
	CloseSessions  *CloseSessions
	UpdateRouter   *UpdateRouter
	Assign         *Assign
	ReleaseShards  *ReleaseShards
	OperatorChange *OperatorChange
	AssignRanges   *AssignRanges
	ReleaseRanges  *ReleaseRanges
}
