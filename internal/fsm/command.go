// Package fsm is the finite state machine that control replicates through its log:
// sessions, ownership of shards and key ranges, presets and operator settings. It
// is deterministic: the result of a command depends only on the commands before it,
// never on time.
package fsm

// Command is one command of the replicated log. Exactly one field is set.
type Command struct {
	OpenSession    *OpenSession
	CloseSessions  *CloseSessions
	UpdateRouter   *UpdateRouter
	Assign         *Assign
	ReleaseShards  *ReleaseShards
	OperatorChange *OperatorChange
	AssignRanges   *AssignRanges
	ReleaseRanges  *ReleaseRanges
	KeepLoads      *KeptLoads
}
